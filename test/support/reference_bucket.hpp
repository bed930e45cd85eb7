#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflyroad::test {

/// A bucket with an organisation's whole rate and burst in true time. Fed with every admission of
/// the fleet, it goes negative exactly when some window held more than rate x time + burst.
class reference_bucket {
public:
    reference_bucket(const organisation& entry, time_point start)
        : limits(entry), tokens(entry.burst), filled(start)
    {
    }

    void admit(time_point now)
    {
        this->fill(now);
        this->tokens -= 1;
        this->least = std::min(this->least, this->tokens);
    }
    /// Takes a token only if there is one: whether a request is within the rate.
    bool take(time_point now)
    {
        this->fill(now);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }
    /// The lowest level reached, at most zero is of interest.
    double lowest() const { return this->least; }

private:
    void fill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - this->filled;
        this->tokens =
            std::min(this->limits.burst, this->tokens + this->limits.rate * elapsed.count());
        this->filled = now;
    }

    organisation limits;
    double tokens;
    double least = 0;
    time_point filled;
};

} // namespace dragonflyroad::test
