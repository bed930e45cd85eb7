// Measures the time of one routing decision on the request path (pick, begin, first byte, finish)
// and of one controller tick per upstream, by number of upstreams per service. Reads a real clock.

#include "bench/capacity.hpp"
#include "bench/record.hpp"
#include "bench/upstream_load.hpp"
#include "routing/ejection_controller.hpp"
#include "routing/picker.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/core.h>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;
using wall_clock = std::chrono::steady_clock;

constexpr int rounds = 9;
constexpr int decisions = 20'000;

double to_ns(wall_clock::duration elapsed)
{
    return std::chrono::duration<double, std::nano>(elapsed).count();
}

/// Returns the fastest of several rounds, because other load on the computer slows the rest.
std::vector<record> measure(std::size_t services, std::size_t per_service, std::uint64_t seed)
{
    const std::size_t size = services * per_service;
    upstream_set set;
    const time_point start{1000s};
    fill_upstreams(set, services, per_service, start);
    ejection_controller controller{node_id{"node"}};
    random_engine random(seed);
    time_point now = start;
    double decision_ns = 1e12;
    double tick_ns = 1e12;
    for (int round = 0; round < rounds; ++round) {
        const wall_clock::time_point before = wall_clock::now();
        for (int count = 0; count < decisions; ++count) {
            const auto view = set.view(nth_service(static_cast<std::size_t>(count) % services));
            const auto upstream = pick(*view, {{}, true}, random, now);
            const std::uint64_t number = random();
            auto running = upstream_set::begin(upstream, {number, number >> 32U, true, true}, now);
            upstream_set::first_byte(*running, now + 20ms);
            upstream_set::finish(*running, outcome_kind::success, now + 20ms);
            now += 10us;
        }
        decision_ns = std::min(decision_ns, to_ns(wall_clock::now() - before) / decisions);
        const wall_clock::time_point before_tick = wall_clock::now();
        controller.tick(set, {}, now);
        tick_ns =
            std::min(tick_ns, to_ns(wall_clock::now() - before_tick) / static_cast<double>(size));
    }
    const std::string suffix =
        services == 1 ? fmt::format("_{}", size) : fmt::format("_{}x{}", services, per_service);
    return {{"decision_cost", "target", "decision_cost" + suffix, decision_ns, "ns", 0,
             bound_kind::none, seed},
            {"decision_cost", "target", "tick_cost_per_upstream" + suffix, tick_ns, "ns", 0,
             bound_kind::none, seed}};
}

const registration own{{"decision_cost", true, [](std::uint64_t seed) {
                            std::vector<record> records;
                            for (const std::size_t size : {6U, 60U, 600U}) {
                                const auto some = measure(1, size, seed);
                                records.insert(records.end(), some.begin(), some.end());
                            }
                            return records;
                        }}};

} // namespace

std::vector<record> routing_cost_at_target(std::uint64_t seed)
{
    // A service of the target scale has 24 upstreams.
    std::vector<record> records;
    for (const std::size_t services : {25U, 100U, 214U}) {
        const auto some = measure(services, 24, seed);
        records.insert(records.end(), some.begin(), some.end());
    }
    return records;
}

} // namespace dragonflyroad::bench
