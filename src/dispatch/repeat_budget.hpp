#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <deque>

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
/// that it was sent first times the ratio, and an equal part of the slack, over a sliding window.
/// Every arrival at the upstream passes this node, so the sum over a service's upstreams stays
/// within the bound without messages, and an outage is never multiplied by more than the ratio.
/// Callers' nodes see too few requests of a service each to keep a budget of their own. Not
/// synchronised.
class repeat_budget {
public:
    explicit repeat_budget(repeat_limit bound) : limit(bound) {}

    void note_first(time_point now);
    void note_repeat(time_point now);

    /// Whether one more repeat may be sent; `upstreams` share the service's slack.
    bool has_room(std::size_t upstreams, time_point now);

private:
    void forget_before(time_point start);

    repeat_limit limit;
    std::deque<time_point> firsts;
    std::deque<time_point> repeats;
};

} // namespace dragonflyroad
