#include "routing/concurrency_limit.hpp"

#include <algorithm>

namespace dragonflyroad {

void update_concurrency_limit(upstream_entry& upstream, duration median, bool has_shed)
{
    const std::uint32_t largest = max_concurrency_limit(upstream.slots.load());
    const std::uint32_t limit = std::min(upstream.limit.load(), largest);
    const std::uint32_t peak = upstream.in_flight_peak.exchange(upstream.in_flight.load());
    const duration latency = upstream.statistics.smoothed_latency();
    const bool is_queueing = median > duration::zero() && latency > 2 * median;
    std::uint32_t next = limit;
    if (has_shed) {
        next = limit / 2;
    }
    else if (is_queueing && peak >= limit) {
        next = limit - 1;
    }
    else if (!is_queueing && peak >= limit) {
        next = limit + 1;
    }
    upstream.limit.store(std::clamp<std::uint32_t>(next, 1, largest));
}

} // namespace dragonflyroad
