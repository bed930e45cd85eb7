// Time of one routing decision on the request path (pick, begin, first byte, finish), and of one
// controller tick per upstream, by the number of upstreams in the service. Reads a real clock.

#include "bench/model/router.hpp"
#include "bench/record.hpp"
#include "routing/picker.hpp"

#include <algorithm>
#include <chrono>
#include <fmt/core.h>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;
using wall = std::chrono::steady_clock;

constexpr int rounds = 9;
constexpr int decisions = 20'000;

double to_ns(wall::duration elapsed)
{
    return std::chrono::duration<double, std::nano>(elapsed).count();
}

// The fastest of several rounds: the others measure what else the machine does.
std::vector<record> measure(std::size_t size, std::uint64_t seed)
{
    upstream_set set;
    const time_point start{1000s};
    for (std::size_t upstream = 0; upstream < size; ++upstream) {
        set.apply({model_upstream_id(upstream), model_service(), 7, upstream_state::ready, 60s},
                  start);
    }
    ejection_controller controller{node_id{"node"}};
    random_engine random(seed);
    time_point now = start;
    double decision_ns = 1e12;
    double tick_ns = 1e12;
    for (int round = 0; round < rounds; ++round) {
        const wall::time_point before = wall::now();
        for (int count = 0; count < decisions; ++count) {
            const auto view = set.view(model_service());
            const auto upstream = pick(*view, {{}, true}, random, now);
            const std::uint64_t number = random();
            auto running = upstream_set::begin(upstream, {number, number >> 32U, true, true}, now);
            upstream_set::first_byte(*running, now + 20ms);
            upstream_set::finish(*running, outcome_kind::success, now + 20ms);
            now += 10us;
        }
        decision_ns = std::min(decision_ns, to_ns(wall::now() - before) / decisions);
        const wall::time_point before_tick = wall::now();
        controller.tick(set, {}, now);
        tick_ns = std::min(tick_ns, to_ns(wall::now() - before_tick) / static_cast<double>(size));
    }
    const std::string suffix = fmt::format("_{}", size);
    return {{"decision_cost", "target", "decision_cost" + suffix, decision_ns, "ns", 0,
             bound_kind::none, seed},
            {"decision_cost", "target", "tick_cost_per_upstream" + suffix, tick_ns, "ns", 0,
             bound_kind::none, seed}};
}

const registration own{{"decision_cost", true, [](std::uint64_t seed) {
                            std::vector<record> records;
                            for (const std::size_t size : {6U, 60U, 600U}) {
                                const auto some = measure(size, seed);
                                records.insert(records.end(), some.begin(), some.end());
                            }
                            return records;
                        }}};

} // namespace
} // namespace dragonflyroad::bench
