#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "limits/token_bucket.hpp"

#include <chrono>
#include <cstddef>
#include <map>

namespace dragonflyroad {

/// Fleet-wide bound on requests that are sent to a service once more.
struct repeat_limit {
    /// Repeats per first request.
    double ratio = 0.2;
    /// Repeats of the whole fleet in one window beside the ratio.
    double slack = 60;
    std::chrono::milliseconds window{10'000};
};

/// A node's part of the fleet's bound on repeats: its own requests times the ratio, and an equal
/// part of the slack. Nodes need no messages for it, and an outage is never multiplied by more than
/// the ratio. Not synchronised.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limit bound) : limit(bound) {}

    void note_request(const service_name& service, time_point now);

    /// Takes one repeat; false when the budget is used up.
    bool take(const service_name& service, std::size_t fleet_size, time_point now);

private:
    struct account {
        token_bucket slack;
        double earned = 0;
        time_point earned_at{};
    };

    double faded(const account& entry, time_point now) const;

    repeat_limit limit;
    std::map<service_name, account> accounts;
};

} // namespace dragonflyroad
