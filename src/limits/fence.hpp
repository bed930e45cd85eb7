#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// How long one piece of evidence that the node still holds its seat keeps the fence open, counted
/// from the evidence's `as_of`.
constexpr std::chrono::milliseconds fence_time{5'000};

/// Self-fencing lease of a node on its own seat: until deadline(), the fence is open and the node
/// may use the seat. The evidence for a renewal cannot have been produced before the renewal's
/// `as_of`, so that a delayed message never counts as fresh. The clock includes the time that a VM
/// is suspended, so a node that was paused beyond the deadline finds the fence closed.
class fence {
public:
    /// Renews the fence after a compare-and-swap sent at `as_of` proved that this node's copy of
    /// the ledger is current and holds its seat without a reclaim mark.
    void renew_from_ledger(time_point as_of) { this->extend(as_of); }

    /// Renews the fence after a witness of the seat acknowledged a ping sent at `as_of` with its
    /// promise (see witness_state::promises()).
    void renew_from_witness(time_point as_of) { this->extend(as_of); }

    /// Closes the fence at once, for a node that has lost its seat.
    void close() { this->until = time_point{}; }

    bool is_open(time_point now) const { return now < this->until; }
    time_point deadline() const { return this->until; }

private:
    void extend(time_point as_of);

    time_point until{};
};

} // namespace dragonflyroad
