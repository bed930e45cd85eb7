#pragma once

#include "core/clock.hpp"
#include "limits/token_bucket.hpp"

#include <chrono>
#include <cstddef>

namespace dragonflyroad {

/// Fleet-wide bound on requests that are sent to a service once more.
struct repeat_limit {
    /// Repeats per first request.
    double ratio = 0.2;
    /// Repeats of the whole fleet in one window beside the ratio.
    double slack = 60;
    std::chrono::milliseconds window{10'000};
};

/// An upstream's part of its service's bound on repeats, kept by the node beside it: the requests
/// that it was sent first times the ratio, and an equal part of the slack. Every arrival at the
/// upstream passes this node, so the sum over a service's upstreams stays within the bound without
/// messages, and an outage is never multiplied by more than the ratio. Callers' nodes see too few
/// requests of a service each to keep a budget of their own. Not synchronised.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limit bound) : limit(bound) {}

    void note_first(time_point now);

    /// Whether one more repeat may be sent; `upstreams` share the service's slack.
    bool has_room(std::size_t upstreams, time_point now);

    /// Counts a repeat that is sent. Repeats that were promised at the same time may take the
    /// budget below zero, which later ones make good.
    void spend(std::size_t upstreams, time_point now);

private:
    void refill(std::size_t upstreams, time_point now);

    repeat_limit limit;
    token_bucket slack;
    double earned = 0;
    time_point earned_at{};
};

} // namespace dragonflyroad
