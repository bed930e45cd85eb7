#include "bench/record.hpp"

#include <fmt/core.h>

namespace dragonflyroad::bench {

bool print(const record& result)
{
    const bool kept = result.kind == bound_kind::none ||
                      (result.kind == bound_kind::at_most ? result.value <= result.bound
                                                          : result.value >= result.bound);
    fmt::print("bench={} deployment={} measure={} value={:.6g} unit={} bound={:.6g} verdict={} "
               "seed={}\n",
               result.bench, result.deployment, result.measure, result.value, result.unit,
               result.bound, kept ? "ok" : "missed", result.seed);
    return kept;
}

std::vector<benchmark>& registry()
{
    static std::vector<benchmark> entries;
    return entries;
}

} // namespace dragonflyroad::bench
