#pragma once

#include "core/clock.hpp"

namespace dragonflyroad {

/// When the next round of pings is due. News that cannot wait bring it forward; such additional
/// rounds are limited to one for every two regular ones, and two of them can be saved up.
class round_timer {
public:
    explicit round_timer(duration regular_interval) : interval(regular_interval) {}

    time_point next() const { return this->due; }
    void request(time_point now);
    /// A round was sent.
    void sent(time_point now) { this->due = now + this->interval; }

private:
    duration interval;
    time_point due;
    /// The time at which all saved additional rounds would be used up and earned again.
    time_point credit;
};

} // namespace dragonflyroad
