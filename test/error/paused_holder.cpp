#include "test/support/limits_fleet.hpp"
#include "test/support/reference_bucket.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const organisation tenant{organisation_id{"tenant"}, 1000, 20, 1};

/// Sends more than the rate to every node, one request per millisecond and node, and feeds the
/// reference with what is admitted.
double drive(limits_fleet& fleet, reference_bucket& reference, duration length)
{
    const time_point end = fleet.events.now() + length;
    while (fleet.events.now() < end) {
        fleet.events.run_until(fleet.events.now() + 1ms);
        for (auto& node : fleet.machines) {
            if (node->up && !node->paused) {
                const time_point now = fleet.local(*node);
                if (node->quota->admit(tenant, now) == admission::admitted) {
                    reference.admit(fleet.events.now());
                }
            }
        }
    }
    return reference.lowest();
}

} // namespace

// Guards against F7: a holder that was paused until its seat had been reclaimed and its units given
// to others must not use them when it resumes.
TEST_CASE("a paused holder does not admit after its seat was reclaimed")
{
    random_engine random(7);
    limits_fleet fleet({.nodes = 3}, {tenant}, random);
    fleet.start_settled();
    reference_bucket reference(tenant, fleet.events.now());
    CHECK(drive(fleet, reference, 5s) >= -1e-6);
    const seat_key holder = fleet.machines[1]->controller->key();
    fleet.pause(1);
    drive(fleet, reference, 45s);
    REQUIRE(fleet.store.current()->find(holder) == nullptr);
    REQUIRE(fleet.store.current()->free_units == doctest::Approx(0).epsilon(300));

    // Resumes without having received anything: the held messages come later.
    auto& node = *fleet.machines[1];
    CHECK(node.quota->admit(tenant, fleet.local(node)) != admission::admitted);
    fleet.resume(1);
    CHECK(drive(fleet, reference, 5s) >= -1e-6);
}

// Guards against a reclaim that ends before the holder's fence: the holder still hears a witness,
// but nobody hears the holder.
TEST_CASE("a holder that only its witnesses can refresh is not over-admitted")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed ", seed);
        random_engine random(seed);
        limits_fleet fleet({.nodes = 5, .drift = max_clock_drift}, {tenant}, random);
        fleet.start_settled();
        reference_bucket reference(tenant, fleet.events.now());
        drive(fleet, reference, 3s);
        const auto witnesses =
            fleet.store.current()->find(fleet.machines[0]->controller->key())->witnesses;
        for (const auto& other : fleet.machines) {
            // One witness keeps two-way contact; the others neither hear nor reach the holder.
            if (other->index != 0 && other->name != witnesses.front().node) {
                fleet.cut[0][other->index] = true;
                fleet.cut[other->index][0] = true;
            }
        }
        CHECK(drive(fleet, reference, 20s) >= -1e-6);
        for (const auto& other : fleet.machines) {
            fleet.cut[0][other->index] = true;
        }
        CHECK(drive(fleet, reference, 40s) >= -1e-6);
    }
}
