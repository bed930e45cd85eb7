#pragma once

#include "core/clock.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>

namespace dragonflyroad {

/// Upper bound of the requests that one node has in flight at an upstream with `slots` slots: twice
/// the slots. While one set runs, the next one is in transit or queued, so that no slot idles for
/// the round trip (at most 3 ms of a service time of some 20 ms), with reserve for service times
/// down to one round trip. A higher bound would only lengthen the upstream's queue.
constexpr std::uint32_t max_concurrency_limit(std::uint32_t slots)
{
    return 2 * (slots == 0 ? 1 : slots);
}

/// Adapts an upstream's concurrency limit to its observed latency. While the limit is reached, each
/// call lowers it by one if the latency is more than twice the service's median over the last half
/// minute, and raises it by one otherwise. A `shed` refusal halves it. Each of the nodes that share
/// an upstream sees only its own requests; the latency that all of them observe makes them back off
/// together.
///
/// Called by the routing controller on each tick. `has_shed`: whether the upstream has refused
/// requests as `shed` since the previous tick.
void update_concurrency_limit(upstream_entry& upstream, duration median, bool has_shed);

} // namespace dragonflyroad
