#pragma once

#include "core/clock.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>

namespace dragonflyroad {

/// Upper bound of the requests that one node has in flight at an upstream with `slots` slots: twice
/// the slots. While each slot runs one request, another is in transit or queued, so that no slot
/// idles during the round trip (at most 3 ms, for service times of about 20 ms). This suffices for
/// service times down to one round trip. A higher bound would only lengthen the upstream's queue.
constexpr std::uint32_t max_concurrency_limit(std::uint32_t slots)
{
    return 2 * (slots == 0 ? 1 : slots);
}

/// Adapts an upstream's concurrency limit to its observed latency. While the limit is reached, each
/// call lowers it by one if the latency is more than twice the service's median over the last half
/// minute, and raises it by one otherwise. A `shed` refusal halves it. Each of the nodes that share
/// an upstream sees only its own requests. All of them observe the upstream's latency, so they back
/// off together.
///
/// Called by the routing controller on each tick. `has_shed`: whether the upstream has refused
/// requests as `shed` since the previous tick.
void update_concurrency_limit(upstream_entry& upstream, duration median, bool has_shed);

} // namespace dragonflyroad
