#include "bench/config_spread.hpp"
#include "bench/record.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t seeds = 20;

record measure(const fleet_shape& shape, std::uint64_t first_seed, double bound)
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

const registration entry{{"config_in_force_time", false, [](std::uint64_t seed) {
                              constexpr double today = 3;
                              constexpr double at_target = 11;
                              return std::vector<record>{measure(ledgerworks(6), seed, today),
                                                         measure(siamcite(6), seed, today),
                                                         measure(ledgerworks(24), seed, today),
                                                         measure(siamcite(27), seed, today),
                                                         measure(target(150), seed, at_target),
                                                         measure(target(2'100), seed, at_target)};
                          }}};

} // namespace
} // namespace dragonflyroad::bench
