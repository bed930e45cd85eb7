#pragma once

#include "core/clock.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>

namespace dragonflyroad {

/// The most requests that one node ever has in flight at an upstream with `slots` slots: twice the
/// slots. One set runs while the next is on its way or waits, so that no slot idles for the round
/// trip (at most 3 ms of a service time of some 20 ms), with reserve for service times down to one
/// round trip. More would only lengthen the upstream's queue.
constexpr std::uint32_t largest_limit(std::uint32_t slots)
{
    return 2 * (slots == 0 ? 1 : slots);
}

/// Adapts an upstream's limit to its observed latency: one request less per step while the latency
/// is more than twice the service's median over the last half minute, one more while the limit is
/// reached and the latency is ordinary. Several nodes share an upstream and each sees only its own
/// requests; the common latency makes them back off together.
///
/// Called by the routing controller on each tick, after `shed` refusals were harvested.
void update_concurrency_limit(upstream_entry& upstream, duration median, bool has_shed);

} // namespace dragonflyroad
