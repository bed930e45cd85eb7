#pragma once

#include "core/clock.hpp"

namespace dragonflyroad {

/// Schedules ping rounds. Urgent updates request additional rounds, which are rate limited to one
/// for every two regular rounds, with a burst of two.
class round_timer {
public:
    explicit round_timer(duration regular_interval) : interval(regular_interval) {}

    time_point next() const { return this->due; }
    void request_extra_round(time_point now);
    /// Sets the next regular round after one was sent.
    void record_round(time_point now) { this->due = now + this->interval; }

private:
    duration interval;
    time_point due;
    /// Theoretical arrival time of the rate limiter (GCRA, generic cell rate algorithm).
    time_point theoretical_arrival;
};

} // namespace dragonflyroad
