// Measures the healthy capacity in rotation relative to the floor while several upstreams fail,
// drain, expire and start cold at random times.

#include "bench/model/fleet_model.hpp"
#include "bench/model/seeds.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;
using kind = scheduled_event::kind;

scenario make_scenario(const service_shape& shape, std::uint64_t seed, bool is_baseline)
{
    scenario plan;
    plan.shape = shape;
    plan.seed = seed;
    plan.is_baseline = is_baseline;
    plan.length = 25s;
    random_engine random(seed);
    constexpr upstream_fault faults[] = {upstream_fault::stall, upstream_fault::slow,
                                         upstream_fault::slow_share, upstream_fault::flap,
                                         upstream_fault::none};
    for (int count = 0; count < 12; ++count) {
        scheduled_event change;
        change.at =
            fleet_model::start() + 5s + duration{static_cast<std::int64_t>(uniform(random) * 15e9)};
        change.upstream = uniform_index(random, shape.upstreams);
        const double draw = uniform(random);
        change.what = draw < 0.7 ? kind::fault : draw < 0.85 ? kind::restart : kind::expire;
        change.fault = faults[uniform_index(random, std::size(faults))];
        plan.schedule.push_back(change);
    }
    return plan;
}

/// Lowest ratio of the healthy capacity in rotation to the floor, or to all healthy capacity if
/// that is below the floor. For `settled`, all healthy capacity includes an upstream only from ten
/// seconds after the end of its fault.
struct least_shares {
    double all = 1e9;
    double settled = 1e9;
};

least_shares measure_shares(const scenario& plan)
{
    fleet_model model(plan);
    least_shares least;
    model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
        static_cast<void>(now);
        double announced = 0;
        double healthy = 0;
        double settled = 0;
        double in_rotation = 0;
        for (std::size_t upstream = 0; upstream < fleet.upstream_count(); ++upstream) {
            if (!fleet.is_announced(upstream)) {
                continue;
            }
            announced += 1;
            if (!fleet.is_faulty(upstream)) {
                const ejection_step step = fleet.node(node).step(upstream);
                healthy += 1;
                settled += fleet.is_settled(upstream) ? 1 : 0;
                in_rotation +=
                    step == ejection_step::healthy || step == ejection_step::reduced ? 1 : 0;
            }
        }
        // If the healthy capacity is below the floor, all of it must be in rotation.
        const double floor = plan.floor * announced;
        if (healthy > 0) {
            least.all = std::min(least.all, in_rotation / std::min(floor, healthy));
        }
        if (settled > 0) {
            least.settled = std::min(least.settled, in_rotation / std::min(floor, settled));
        }
    });
    return least;
}

std::vector<record> measure(std::uint64_t first_seed, bool is_baseline)
{
    std::vector<record> records;
    const std::string name =
        is_baseline ? "baseline_healthy_capacity_floor" : "healthy_capacity_floor";
    const bound_kind bound = is_baseline ? bound_kind::none : bound_kind::at_least;
    for (const std::string& deployment : deployment_names()) {
        const auto shapes = service_shapes(deployment);
        worst_value_record worst(
            {name, deployment, "healthy_capacity_floor", 0, "ratio", 1, bound, 0}, false);
        worst_value_record settled({name, deployment, "healthy_capacity_floor_settled", 0, "ratio",
                                    1, bound_kind::none, 0},
                                   false);
        for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
            const auto& shape = shapes[seed % shapes.size()];
            const least_shares least = measure_shares(make_scenario(shape, seed, is_baseline));
            worst.add(least.all, seed);
            settled.add(least.settled, seed);
        }
        records.push_back(worst.get());
        records.push_back(settled.get());
    }
    return records;
}

const registration own{{"healthy_capacity_floor", false,
                        [](std::uint64_t seed) { return measure_with_baseline(measure, seed); }}};

} // namespace
} // namespace dragonflyroad::bench
