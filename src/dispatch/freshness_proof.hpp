#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflyroad {

/// The latest time at which this node's configuration is proved to have been the newest one. The
/// node cannot know of a key that was withdrawn later, so it serves requests with a key only while
/// the proof is recent. Times are from boot_clock, which counts suspension, so the proof expires
/// while a node is suspended.
class freshness_proof {
public:
    /// Records that the store, or a peer with a proof from it, confirmed at `as_of` or later that
    /// no newer configuration existed.
    void record_proof(time_point as_of) { this->latest = std::max(this->latest, as_of); }

    bool is_recent(time_point now, std::chrono::milliseconds limit) const
    {
        return this->latest != time_point{} && now < this->latest + limit;
    }

    time_point as_of() const { return this->latest; }

private:
    time_point latest{};
};

} // namespace dragonflyroad
