// Counts non-repeatable requests that ran twice, and refusals that report "not run" for a request
// that did run, while upstreams crash, stall, flap and become unreachable.

#include "bench/model/fleet_model.hpp"
#include "bench/model/seeds.hpp"

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
    plan.repeatable_share = 0.4;
    random_engine random(seed);
    const auto random_upstream = [&] { return uniform_index(random, shape.upstreams); };
    const auto random_node = [&] { return uniform_index(random, plan.nodes); };
    const auto at = [&] {
        return fleet_model::start() + 4s +
               duration{static_cast<std::int64_t>(uniform(random) * 4e9)};
    };
    plan.schedule = {
        {at(), kind::fault, random_upstream(), 0, 1, upstream_fault::stall},
        {at(), kind::fault, random_upstream(), 0, 1, upstream_fault::flap},
        {at(), kind::drop_responses, random_upstream(), random_node(), 1, upstream_fault::none},
        {at(), kind::drop_requests, random_upstream(), random_node(), 1, upstream_fault::none},
        {at(), kind::hang_pooled_connections, random_upstream(), 0, 1, upstream_fault::none},
        {at(), kind::load, 0, 0, 2.5, upstream_fault::none},
        {at(), kind::crashing_request, 0, 0, 1, upstream_fault::none},
    };
    return plan;
}

std::vector<record> measure(std::uint64_t first_seed, bool is_baseline)
{
    std::vector<record> records;
    const std::string name = is_baseline ? "baseline_duplicate_runs" : "duplicate_runs";
    const bound_kind bound = is_baseline ? bound_kind::none : bound_kind::at_most;
    for (const std::string& deployment : deployment_names()) {
        const auto shapes = service_shapes(deployment);
        worst_value_record duplicates(
            {name, deployment, "duplicate_runs", 0, "requests", 0, bound, 0}, true);
        worst_value_record untrue({name, deployment, "untrue_refusals", 0, "requests", 0, bound, 0},
                                  true);
        worst_value_record crashes(
            {name, deployment, "crashes_of_one_request", 0, "crashes", 0, bound_kind::none, 0},
            true);
        for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
            fleet_model model(make_scenario(shapes[seed % shapes.size()], seed, is_baseline));
            const run_counts counts = model.run([](const fleet_model&, std::size_t, time_point) {});
            duplicates.add(static_cast<double>(counts.duplicate_runs), seed);
            untrue.add(static_cast<double>(counts.untrue_refusals), seed);
            crashes.add(static_cast<double>(counts.crashes), seed);
        }
        records.insert(records.end(), {duplicates.get(), untrue.get(), crashes.get()});
    }
    return records;
}

const registration own{{"duplicate_runs", false,
                        [](std::uint64_t seed) { return measure_with_baseline(measure, seed); }}};

} // namespace
} // namespace dragonflyroad::bench
