#include "bench/capacity.hpp"
#include "bench/config_spread.hpp"
#include "bench/record.hpp"
#include "bench/seeds_in_parallel.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t all_seeds = 20;
/// Bound at the target scale, in seconds.
constexpr double target_bound_s = 11;

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
        const double seconds = spread.measure_change(seed, bound + 1);
        if (seconds >= worst.value) {
            worst.value = seconds;
            worst.seed = seed;
        }
    }
    return worst;
}

/// One fleet to measure. Lists put the fleets that take the longest last; these are started first.
struct part {
    fleet_shape shape;
    double bound = 0;
    std::uint64_t seeds = 0;
};

std::vector<record> measure_parts(const std::vector<part>& parts, std::uint64_t seed)
{
    auto records = run_in_parallel(parts.size(), [&](std::size_t index) {
        const part& chosen = parts[parts.size() - 1 - index];
        return measure(chosen.shape, seed, chosen.bound, chosen.seeds);
    });
    std::reverse(records.begin(), records.end());
    return records;
}

const registration entry{{"config_in_force_time", false, [](std::uint64_t seed) {
                              constexpr double current_bound_s = 3;
                              return measure_parts({{ledgerworks(6), current_bound_s, all_seeds},
                                                    {siamcite(6), current_bound_s, all_seeds},
                                                    {ledgerworks(24), current_bound_s, all_seeds},
                                                    {siamcite(27), current_bound_s, all_seeds},
                                                    {target(150), target_bound_s, all_seeds},
                                                    {target(2'100), target_bound_s, 3}},
                                                   seed);
                          }}};

} // namespace

std::vector<record> config_in_force_time_at_target(std::uint64_t seed)
{
    return measure_parts(
        {{target(150), target_bound_s, all_seeds}, {target(2'100), target_bound_s, all_seeds}},
        seed);
}

} // namespace dragonflyroad::bench
