#include "bench/config_spread.hpp"
#include "bench/record.hpp"

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t seeds = 20;
constexpr double bound_seconds = 3;

/// Measures the time until a change has reached all members, while the watchers of one data centre
/// cannot reach the store, one member cannot send to half of the others, and another one cannot
/// receive from half of the others.
record measure(const fleet_shape& shape, std::uint64_t first_seed)
{
    record worst{"key_withdrawal_time",
                 shape.deployment,
                 "key_withdrawal_time_" + std::to_string(shape.nodes) + "_nodes",
                 0,
                 "s",
                 bound_seconds,
                 bound_kind::at_most,
                 first_seed};
    config_spread spread{shape, first_seed};
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        random_engine random{seed};
        spread.cut_off = {uniform_index(random, shape.data_centres)};
        const std::size_t unable_to_send = uniform_index(random, shape.nodes);
        const std::size_t unable_to_receive = (unable_to_send + 1) % shape.nodes;
        spread.fleet.is_blocked = [unable_to_send, unable_to_receive](std::size_t from,
                                                                      std::size_t to) {
            return (from == unable_to_send && to % 2 == 0) ||
                   (to == unable_to_receive && from % 2 == 1);
        };
        const double seconds = spread.measure_change(seed, bound_seconds + 1);
        if (seconds >= worst.value) {
            worst.value = seconds;
            worst.seed = seed;
        }
    }
    return worst;
}

const registration entry{{"key_withdrawal_time", false, [](std::uint64_t seed) {
                              return std::vector<record>{
                                  measure(ledgerworks(6), seed), measure(siamcite(6), seed),
                                  measure(ledgerworks(24), seed), measure(siamcite(27), seed)};
                          }}};

} // namespace
} // namespace dragonflyroad::bench
