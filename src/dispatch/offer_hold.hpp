#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Until when a request may hold an offer while it looks for a better one, given the time of its
/// first offer in this round and the cost of the cheapest one.
///
/// Answers this load: some upstreams of a service fail or stall most of their requests while most
/// of the others have free slots, and a node asks only a few at a time. A cheap offer is held for
/// one round trip. For an offer that is expected to cost more, up to a quarter of that cost is
/// spent on asking more VMs: each further round trip finds a sound upstream with a probability of
/// more than one half. The limit stays below the time for which a slot is offered.
time_point offer_hold_deadline(time_point first_offer_at, std::chrono::milliseconds cost);

} // namespace dragonflyroad
