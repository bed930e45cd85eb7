#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

namespace {

scenario crashing(std::uint64_t seed)
{
    scenario plan = one_fault(seed, upstream_fault::none, 0);
    plan.schedule.front().what = timed_event::kind::crashing_request;
    return plan;
}

} // namespace

// Guards against one request that takes down the service while its client repeats it (F9): without
// the crash log, 70 requests with up to three attempts each would crash upstreams for 14 s.
TEST_CASE("a request that crashes its upstreams is stopped")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        const scenario plan = crashing(seed);
        fleet_model model(plan);
        const run_counts counts = model.run([](const fleet_model&, std::size_t, time_point) {});
        CHECK(counts.crashes >= 2);
        CHECK(counts.crashes <= 12);
        CHECK(counts.untrue_refusals == 0);
        CHECK(counts.duplicate_runs == 0);
    }
}

// Guards against crashes that push the rotation below the floor when it is already near it: the
// request is at fault and not the upstreams.
TEST_CASE("a crashing request near the floor leaves the floor in rotation")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        scenario plan = crashing(seed);
        for (const std::size_t upstream : {1U, 2U}) {
            timed_event change = plan.schedule.front();
            change.what = timed_event::kind::fault;
            change.upstream = upstream;
            change.fault = upstream_fault::stall;
            change.at -= 2s;
            plan.schedule.push_back(change);
        }
        fleet_model model(plan);
        model.run([&](const fleet_model& fleet, std::size_t node, time_point) {
            CHECK(rotation_share(fleet, node) >= plan.floor);
        });
    }
}
