#pragma once

#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflyroad {

/// Until when this node's configuration is known to have been the newest. A key that was withdrawn
/// after that time would not be known here, so requests with a key are only served while the proof
/// is recent. Times are of a clock that counts suspension, so a node that slept finds its proof
/// expired.
class currency_proof {
public:
    /// The store, or a peer with such a proof, said at `as_of` or later that nothing newer existed.
    void note(time_point as_of) { this->latest = std::max(this->latest, as_of); }

    bool is_recent(time_point now, std::chrono::milliseconds limit) const
    {
        return this->latest != time_point{} && now < this->latest + limit;
    }

    time_point as_of() const { return this->latest; }

private:
    time_point latest{};
};

} // namespace dragonflyroad
