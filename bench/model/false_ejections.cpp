#include "bench/model/false_ejections.hpp"

#include <set>
#include <utility>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;
using kind = scheduled_event::kind;

scheduled_event make_event(duration after, kind what, std::size_t upstream = 0,
                           std::size_t node = 0, double value = 1)
{
    return {fleet_model::start() + after, what, upstream, node, value, upstream_fault::none};
}

void add_service_time_noise(scenario& plan)
{
    plan.times.sigma = 0.9;
    plan.times.heavy_share = 0.02;
    plan.times.heavy_factor = 20;
}

} // namespace

std::string_view to_name(benign_condition situation)
{
    constexpr std::string_view names[] = {"noise",
                                          "burst",
                                          "cold_start",
                                          "misreporting",
                                          "one_way_partition",
                                          "slow_service",
                                          "silent_connections",
                                          "rumour"};
    return names[static_cast<std::size_t>(situation)];
}

scenario make_benign_scenario(benign_condition situation, const service_shape& shape,
                              std::uint64_t seed, bool is_baseline)
{
    scenario plan;
    plan.shape = shape;
    plan.seed = seed;
    plan.is_baseline = is_baseline;
    plan.length = 20s;
    random_engine random(seed * 31 + static_cast<std::uint64_t>(situation));
    const std::size_t first = uniform_index(random, shape.upstreams);
    const std::size_t second = (first + 1) % shape.upstreams;
    const std::size_t node = uniform_index(random, plan.nodes);
    std::vector<scheduled_event>& events = plan.schedule;
    switch (situation) {
    case benign_condition::noise:
        add_service_time_noise(plan);
        break;
    case benign_condition::burst:
        events.push_back(make_event(6s, kind::load, 0, 0, 4));
        events.push_back(make_event(8s, kind::load, 0, 0, 1));
        events.push_back(make_event(13s, kind::load, 0, 0, 8));
        events.push_back(make_event(13500ms, kind::load, 0, 0, 1));
        break;
    case benign_condition::cold_start:
        events.push_back(make_event(6s, kind::restart, first));
        events.push_back(make_event(7s, kind::restart, second));
        events.push_back(make_event(8s, kind::join, (first + 2) % shape.upstreams));
        break;
    case benign_condition::one_way_partition:
        events.push_back(make_event(6s, kind::drop_responses, first, node));
        events.push_back(make_event(9s, kind::drop_requests, second, (node + 1) % plan.nodes));
        break;
    case benign_condition::slow_service:
        events.push_back(make_event(6s, kind::slowdown, 0, 0, 10));
        events.push_back(make_event(10s, kind::slowdown, 0, 0, 3));
        events.push_back(make_event(15s, kind::slowdown, 0, 0, 1));
        break;
    case benign_condition::silent_connections:
        events.push_back(make_event(6s, kind::hang_pooled_connections, first));
        break;
    case benign_condition::rumour:
        add_service_time_noise(plan);
        events.push_back(make_event(6s, kind::false_evidence, first, node));
        break;
    case benign_condition::misreporting:
    case benign_condition::count:
        break;
    }
    return plan;
}

ejection_counts count_ejections(const scenario& plan)
{
    ejection_counts counts;
    fleet_model model(plan);
    std::set<std::pair<std::size_t, std::size_t>> falsely_ejected;
    std::set<std::pair<std::size_t, std::size_t>> path_ejected;
    std::set<std::pair<std::size_t, std::size_t>> reduced;
    model.run([&](const fleet_model& fleet, std::size_t node, time_point now) {
        static_cast<void>(now);
        for (std::size_t upstream = 0; upstream < fleet.upstream_count(); ++upstream) {
            const std::pair pair{node, upstream};
            const ejection_step step = fleet.node(node).step(upstream);
            const bool is_unfounded =
                step == ejection_step::ejected && !fleet.was_recently_faulty(upstream);
            const bool is_path_fault = is_unfounded && fleet.is_partitioned(node, upstream) &&
                                       fleet.node(node).scope(upstream) != fault_scope::upstream;
            counts.false_ejections +=
                is_unfounded && !is_path_fault && falsely_ejected.insert(pair).second ? 1 : 0;
            counts.path_ejections += is_path_fault && path_ejected.insert(pair).second ? 1 : 0;
            counts.reductions +=
                step == ejection_step::reduced && reduced.insert(pair).second ? 1 : 0;
            if (!is_unfounded) {
                falsely_ejected.erase(pair);
                path_ejected.erase(pair);
            }
            if (step != ejection_step::reduced) {
                reduced.erase(pair);
            }
        }
    });
    return counts;
}

} // namespace dragonflyroad::bench
