#include "test/support/limits_fleet.hpp"
#include "test/support/reference_bucket.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const organisation test_organisation{organisation_id{"tenant"}, 1000, 20, 1};

/// Sends one request per millisecond to every node, which is more than the rate, and charges the
/// reference bucket for each admission. Returns the lowest level of the bucket.
double send_overload(limits_fleet& fleet, reference_bucket& reference, duration length)
{
    const time_point end = fleet.events.now() + length;
    while (fleet.events.now() < end) {
        fleet.events.run_until(fleet.events.now() + 1ms);
        for (auto& node : fleet.machines) {
            if (node->up && !node->paused) {
                const time_point now = fleet.local(*node);
                if (node->quota->admit(test_organisation, now) == admission::admitted) {
                    reference.admit(fleet.events.now());
                }
            }
        }
    }
    return reference.lowest();
}

} // namespace

// Guards against units that are used twice (failure F7): a seat holder is paused until its seat has
// been reclaimed and its units have been granted to others, then it resumes and continues to admit.
TEST_CASE("a paused seat holder does not admit after its seat was reclaimed")
{
    random_engine random(7);
    limits_fleet fleet({.nodes = 3}, {test_organisation}, random);
    fleet.start_settled();
    reference_bucket reference(test_organisation, fleet.events.now());
    CHECK(send_overload(fleet, reference, 5s) >= -1e-6);
    const seat_key holder = fleet.machines[1]->controller->key();
    fleet.pause(1);
    send_overload(fleet, reference, 45s);
    REQUIRE(fleet.store.current()->find(holder) == nullptr);
    REQUIRE(fleet.store.current()->free_units == doctest::Approx(0).epsilon(300));

    // Just after the pause the node decides on a request before it receives the queued messages.
    auto& node = *fleet.machines[1];
    CHECK(node.quota->admit(test_organisation, fleet.local(node)) != admission::admitted);
    fleet.resume(1);
    CHECK(send_overload(fleet, reference, 5s) >= -1e-6);
}

// Guards against a reclaim that ends before the holder's fence has closed. The holder is first in
// contact with one witness only; then it still receives from that witness, but no node receives
// from the holder.
TEST_CASE("a seat holder in contact with one witness only does not exceed the rate")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed ", seed);
        random_engine random(seed);
        limits_fleet fleet({.nodes = 5, .drift = max_clock_drift}, {test_organisation}, random);
        fleet.start_settled();
        reference_bucket reference(test_organisation, fleet.events.now());
        send_overload(fleet, reference, 3s);
        const auto witnesses =
            fleet.store.current()->find(fleet.machines[0]->controller->key())->witnesses;
        for (const auto& other : fleet.machines) {
            // One witness keeps two-way contact; the other nodes exchange no messages with the
            // holder.
            if (other->index != 0 && other->name != witnesses.front().node) {
                fleet.cut[0][other->index] = true;
                fleet.cut[other->index][0] = true;
            }
        }
        CHECK(send_overload(fleet, reference, 20s) >= -1e-6);
        for (const auto& other : fleet.machines) {
            fleet.cut[0][other->index] = true;
        }
        CHECK(send_overload(fleet, reference, 40s) >= -1e-6);
    }
}
