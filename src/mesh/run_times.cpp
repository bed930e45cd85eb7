#include "mesh/run_times.hpp"

namespace dragonflyroad {
namespace {

/// Weight of the latest run in the moving averages. Small, as run times vary by about as much as
/// their mean.
constexpr double ewma_weight = 0.08;

/// Maximum number of pairs of service and route, beyond which all are discarded. Enough for a
/// configuration of 64,000 routes, in less than 10 MB.
constexpr std::size_t max_means = 70'000;

} // namespace

void run_times::record(const service_name& service, const route_name& route,
                       std::chrono::milliseconds elapsed, std::size_t response_size)
{
    if (this->means.size() >= max_means) {
        this->means.clear();
    }
    const mean_values sample{static_cast<double>(elapsed.count()),
                             static_cast<double>(response_size)};
    const auto [entry, is_new] = this->means.try_emplace({service, route}, sample);
    if (!is_new) {
        mean_values& mean = entry->second;
        mean.run_milliseconds += (sample.run_milliseconds - mean.run_milliseconds) * ewma_weight;
        mean.response_size += (sample.response_size - mean.response_size) * ewma_weight;
    }
}

std::chrono::milliseconds run_times::expected(const service_name& service, const route_name& route,
                                              std::chrono::milliseconds fallback) const
{
    const auto found = this->means.find({service, route});
    return found == this->means.end() ? fallback
                                      : std::chrono::milliseconds{static_cast<std::int64_t>(
                                            found->second.run_milliseconds)};
}

double run_times::response_size(const service_name& service, const route_name& route) const
{
    const auto found = this->means.find({service, route});
    return found == this->means.end() ? 0 : found->second.response_size;
}

} // namespace dragonflyroad
