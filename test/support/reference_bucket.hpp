#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflyroad::test {

/// A token bucket with an organisation's full rate and burst under true time. If it is charged for
/// every admission of the fleet, it goes negative exactly when the admissions in some window exceed
/// rate x time + burst.
class reference_bucket {
public:
    reference_bucket(const organisation& entry, time_point start)
        : limits(entry), tokens(entry.burst), last_fill(start)
    {
    }

    void admit(time_point now)
    {
        this->fill(now);
        this->tokens -= 1;
        this->least = std::min(this->least, this->tokens);
    }
    /// Takes a token if one is available. Returns whether the request is within the rate.
    bool take(time_point now)
    {
        this->fill(now);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }
    /// The lowest level reached, or zero if the level never went negative.
    double lowest() const { return this->least; }
    double level() const { return this->tokens; }

private:
    void fill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - this->last_fill;
        this->tokens =
            std::min(this->limits.burst, this->tokens + this->limits.rate * elapsed.count());
        this->last_fill = now;
    }

    organisation limits;
    double tokens;
    double least = 0;
    time_point last_fill;
};

} // namespace dragonflyroad::test
