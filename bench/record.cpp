#include "bench/record.hpp"

#include <fmt/core.h>

namespace dragonflyroad::bench {

bool print(const record& result)
{
    const bool is_within_bound =
        result.kind == bound_kind::none ||
        (result.kind == bound_kind::at_most ? result.value <= result.bound
                                            : result.value >= result.bound);
    fmt::print("bench={} deployment={} measure={} value={:.6g} unit={} bound={:.6g} verdict={} "
               "seed={}\n",
               result.bench, result.deployment, result.measure, result.value, result.unit,
               result.bound, is_within_bound ? "ok" : "missed", result.seed);
    return is_within_bound;
}

std::vector<benchmark>& registry()
{
    static std::vector<benchmark> entries;
    return entries;
}

} // namespace dragonflyroad::bench
