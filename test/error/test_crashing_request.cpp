#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;

namespace {

scenario crash_scenario(std::uint64_t seed)
{
    scenario plan = single_fault_scenario(seed, upstream_fault::none, 0);
    plan.schedule.front().what = scheduled_event::kind::crashing_request;
    return plan;
}

} // namespace

// Guards against a request that crashes every upstream it reaches while its client retries it
// (failure F9). Without the crash log, 70 requests with up to three attempts each would crash
// upstreams for 14 s.
TEST_CASE("a request that crashes its upstreams is no longer dispatched")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        const scenario plan = crash_scenario(seed);
        fleet_model model(plan);
        const run_counts counts = model.run([](const fleet_model&, std::size_t, time_point) {});
        CHECK(counts.crashes >= 2);
        CHECK(counts.crashes <= 12);
        CHECK(counts.untrue_refusals == 0);
        CHECK(counts.duplicate_runs == 0);
    }
}

// Guards against a crashing request that pushes the rotation below the floor when other faults have
// brought the rotation close to it. The request is at fault, not the upstreams.
TEST_CASE("a crashing request does not push the rotation below the floor")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        scenario plan = crash_scenario(seed);
        for (const std::size_t upstream : {1U, 2U}) {
            scheduled_event change = plan.schedule.front();
            change.what = scheduled_event::kind::fault;
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
