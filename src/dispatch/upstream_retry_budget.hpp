#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <deque>

namespace dragonflyroad {

/// Fleet-wide limit on repeats: requests that are sent to a service again.
struct service_retry_limit {
    /// Repeats per first request.
    double ratio = 0.2;
    /// Repeats that the whole fleet may send in one window in addition to the ratio.
    double slack = 60;
    std::chrono::milliseconds window{10'000};
};

/// An upstream's share of its service's limit on repeats, kept by the node beside the upstream.
/// Over a sliding window it allows three quarters (`used_share`) of the sum of two terms: the ratio
/// times the number of first requests sent to the upstream, and an equal share of the slack. All
/// requests to the upstream pass this node, so the sum over a service's upstreams stays within the
/// limit without coordination, and in an outage repeats add at most the ratio times the first
/// requests, plus the slack. A node beside a caller sees too few requests of a service to keep a
/// budget of its own. Not synchronised.
class upstream_retry_budget {
public:
    explicit upstream_retry_budget(service_retry_limit bound) : limit(bound) {}

    void record_first_request(time_point now);
    void record_retry(time_point now);

    /// Whether one more repeat may be sent. `upstreams` is the number of upstreams of the service,
    /// which share the slack.
    bool has_room(std::size_t upstreams, time_point now);

private:
    void remove_before(time_point start);

    service_retry_limit limit;
    std::deque<time_point> first_requests;
    std::deque<time_point> retries;
};

} // namespace dragonflyroad
