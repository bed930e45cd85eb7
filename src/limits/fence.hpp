#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// How long evidence that a seat is held keeps the fence open.
constexpr std::chrono::milliseconds fence_time{5'000};

/// The deadline up to which a node may use its own seat. Evidence is stamped with a time before
/// which it cannot have been produced, so a delayed message never counts as fresh. Times are read
/// from a clock that counts suspended time, so a node that was paused finds the fence closed.
class fence {
public:
    /// The ledger as this node knows it, proved current by a compare-and-swap sent at `as_of`,
    /// holds the node's seat without a reclaim mark.
    void note_ledger(time_point as_of) { this->extend(as_of); }

    /// A witness named in the seat answered a ping sent at `as_of` and repeated its promise.
    void note_witness(time_point as_of) { this->extend(as_of); }

    /// Forgets all evidence: the seat is gone.
    void close() { this->until = time_point{}; }

    bool is_open(time_point now) const { return now < this->until; }
    time_point deadline() const { return this->until; }

private:
    void extend(time_point as_of);

    time_point until{};
};

} // namespace dragonflyroad
