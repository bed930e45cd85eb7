#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Exponential backoff for a failing call: the delay before the next attempt doubles with each
/// failure up to a limit. Every call is billed, so this prevents a storm of retries during an
/// outage. Not synchronised.
class retry_backoff {
public:
    retry_backoff(std::chrono::milliseconds initial, std::chrono::milliseconds maximum)
        : initial_delay(initial), max_delay(maximum), delay(initial)
    {
    }

    bool is_due(time_point now) const { return now >= this->next_at; }
    time_point next() const { return this->next_at; }

    void record_failure(time_point now);
    void record_success();

private:
    std::chrono::milliseconds initial_delay;
    std::chrono::milliseconds max_delay;
    std::chrono::milliseconds delay;
    time_point next_at{};
};

} // namespace dragonflyroad
