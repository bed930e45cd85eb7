#include "test/error/fleet_helpers.hpp"

using namespace dragonflyroad;
using namespace dragonflyroad::bench;
using namespace std::chrono_literals;
using kind = scheduled_event::kind;

namespace {

/// Faults, restarts, withdrawals, bursts, partitions and false evidence at random times.
scenario random_schedule(std::uint64_t seed)
{
    random_engine random(seed);
    scenario plan;
    plan.shape = service_shapes()[seed % service_shapes().size()];
    plan.seed = seed;
    plan.floor = seed % 2 == 0 ? 0.5 : 0.7;
    constexpr kind kinds[] = {kind::fault,
                              kind::fault,
                              kind::fault,
                              kind::restart,
                              kind::expire,
                              kind::drop_responses,
                              kind::hang_pooled_connections,
                              kind::load,
                              kind::false_evidence};
    constexpr upstream_fault faults[] = {upstream_fault::stall, upstream_fault::slow,
                                         upstream_fault::slow_share, upstream_fault::flap,
                                         upstream_fault::none};
    for (int count = 0; count < 25; ++count) {
        scheduled_event change;
        change.at =
            fleet_model::start() + 2s + duration{static_cast<std::int64_t>(uniform(random) * 16e9)};
        change.what = kinds[uniform_index(random, std::size(kinds))];
        change.fault = faults[uniform_index(random, std::size(faults))];
        change.upstream = uniform_index(random, plan.shape.upstreams);
        change.node = uniform_index(random, plan.nodes);
        change.value = 0.5 + uniform(random);
        plan.schedule.push_back(change);
    }
    return plan;
}

} // namespace

// Guards against ejections below the floor (invariant I1) under random faults, withdrawals,
// partitions and false evidence, while the nodes see different states of the upstreams.
TEST_CASE("every node keeps the floor in rotation at each step of random schedules")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        const scenario plan = random_schedule(seed);
        fleet_model model(plan);
        const run_counts counts =
            model.run([&](const fleet_model& fleet, std::size_t node, time_point) {
                CHECK(rotation_share(fleet, node) >= plan.floor);
            });
        CHECK(counts.duplicate_runs == 0);
        CHECK(counts.untrue_refusals == 0);
    }
}

// Guards against mass ejection when half of the upstreams fail: comparing upstreams with one
// another cannot tell which half is faulty.
TEST_CASE("with half of the upstreams stalled, at most a third is ejected")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        scenario plan = single_fault_scenario(seed, upstream_fault::stall, 0);
        const std::size_t count = plan.shape.upstreams;
        for (std::size_t upstream = 1; upstream < count / 2; ++upstream) {
            scheduled_event change = plan.schedule.front();
            change.upstream = upstream;
            plan.schedule.push_back(change);
        }
        fleet_model model(plan);
        model.run([&](const fleet_model& fleet, std::size_t node, time_point) {
            CHECK(rotation_share(fleet, node) >= 2.0 / 3 - 1e-9);
        });
    }
}
