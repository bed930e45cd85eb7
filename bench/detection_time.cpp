// Measures the time from the start of a fault until a node ejects the upstream, that is, sends it
// no more ordinary requests.

#include "bench/model/fleet_model.hpp"
#include "bench/model/seeds.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr duration warm_up = 8s;
// A fault that is not detected within this time counts as detected when the time ends.
constexpr duration observed = 12s;

std::vector<double> detect(const service_shape& shape, upstream_fault fault, std::uint64_t seed,
                           bool is_baseline)
{
    scenario plan;
    plan.shape = shape;
    plan.seed = seed;
    plan.is_baseline = is_baseline;
    plan.length = warm_up + observed;
    random_engine random(seed);
    const time_point begin =
        fleet_model::start() + warm_up + duration{static_cast<std::int64_t>(uniform(random) * 1e9)};
    const std::size_t faulty = uniform_index(random, shape.upstreams);
    scheduled_event change;
    change.at = begin;
    change.upstream = faulty;
    change.fault = fault;
    plan.schedule.push_back(change);

    fleet_model model(plan);
    std::vector<double> times(model.node_count(),
                              std::chrono::duration<double, std::milli>(observed).count());
    std::vector<bool> found(model.node_count(), false);
    model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
        if (now >= begin && !found[node] &&
            fleet.node(node).step(faulty) == ejection_step::ejected) {
            found[node] = true;
            times[node] = std::chrono::duration<double, std::milli>(now - begin).count();
        }
    });
    return times;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values.at(std::max<std::size_t>(rank, 1) - 1);
}

std::vector<record> measure(std::uint64_t first_seed, bool is_baseline)
{
    std::vector<record> records;
    const std::string name = is_baseline ? "baseline_detection_time" : "detection_time";
    const bound_kind kind = is_baseline ? bound_kind::none : bound_kind::at_most;
    for (const std::string& deployment : deployment_names()) {
        worst_value_record p50({name, deployment, "detection_time_p50", 0, "ms", 500, kind, 0},
                               true);
        worst_value_record p99({name, deployment, "detection_time_p99", 0, "ms", 2000, kind, 0},
                               true);
        for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
            std::vector<double> times;
            for (const service_shape& shape : service_shapes(deployment)) {
                for (const auto fault : {upstream_fault::stall, upstream_fault::slow}) {
                    const auto some = detect(shape, fault, seed, is_baseline);
                    times.insert(times.end(), some.begin(), some.end());
                }
            }
            p50.add(quantile(times, 0.5), seed);
            p99.add(quantile(times, 0.99), seed);
        }
        records.push_back(p50.get());
        records.push_back(p99.get());
    }
    return records;
}

const registration own{{"detection_time", false,
                        [](std::uint64_t seed) { return measure_with_baseline(measure, seed); }}};

} // namespace
} // namespace dragonflyroad::bench
