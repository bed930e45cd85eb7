#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// When a call that failed is made again: after a first pause that doubles with each further
/// failure up to a limit, so that an outage is not met with a storm of calls, each of them billed.
/// Not synchronised.
class retry_backoff {
public:
    retry_backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest)
        : first_pause(first), longest_pause(longest), pause(first)
    {
    }

    bool is_due(time_point now) const { return now >= this->next_at; }
    time_point next() const { return this->next_at; }

    void note_failure(time_point now);
    void note_success();

private:
    std::chrono::milliseconds first_pause;
    std::chrono::milliseconds longest_pause;
    std::chrono::milliseconds pause;
    time_point next_at{};
};

} // namespace dragonflyroad
