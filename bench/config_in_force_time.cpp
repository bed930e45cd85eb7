#include "bench/capacity.hpp"
#include "bench/config_spread.hpp"
#include "bench/record.hpp"
#include "bench/seeds_in_parallel.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t all_seeds = 20;
/// Seconds, at the target scale.
constexpr double at_target = 11;

record measure(const fleet_shape& shape, std::uint64_t first_seed, double bound,
               std::uint64_t seeds)
{
    record worst{"config_in_force_time",
                 shape.deployment,
                 "config_in_force_time_" + std::to_string(shape.nodes) + "_nodes",
                 0,
                 "s",
                 bound,
                 bound_kind::at_most,
                 first_seed};
    config_spread spread{shape, first_seed};
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const double seconds = spread.change_once(seed, bound + 1);
        if (seconds >= worst.value) {
            worst.value = seconds;
            worst.seed = seed;
        }
    }
    return worst;
}

/// One part of the benchmark; the last ones take the longest and are started first.
struct part {
    fleet_shape shape;
    double bound = 0;
    std::uint64_t seeds = 0;
};

std::vector<record> measure_parts(const std::vector<part>& parts, std::uint64_t seed)
{
    auto records = run_in_parallel(parts.size(), [&](std::size_t index) {
        const part& wanted = parts[parts.size() - 1 - index];
        return measure(wanted.shape, seed, wanted.bound, wanted.seeds);
    });
    std::reverse(records.begin(), records.end());
    return records;
}

const registration entry{{"config_in_force_time", false, [](std::uint64_t seed) {
                              constexpr double today = 3;
                              return measure_parts({{ledgerworks(6), today, all_seeds},
                                                    {siamcite(6), today, all_seeds},
                                                    {ledgerworks(24), today, all_seeds},
                                                    {siamcite(27), today, all_seeds},
                                                    {target(150), at_target, all_seeds},
                                                    {target(2'100), at_target, 3}},
                                                   seed);
                          }}};

} // namespace

std::vector<record> config_in_force_time_at_target(std::uint64_t seed)
{
    return measure_parts(
        {{target(150), at_target, all_seeds}, {target(2'100), at_target, all_seeds}}, seed);
}

} // namespace dragonflyroad::bench
