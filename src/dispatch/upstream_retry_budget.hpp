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

/// An upstream's share of its service's limit on repeats, kept by the node beside the upstream. The
/// load pattern: a service fails most of its requests for seconds while its upstreams are replaced,
/// so every caller repeats at once at upstreams whose nodes have just started.
///
/// Over a sliding window the budget allows the ratio times the first requests sent to the upstream,
/// plus an equal share of the slack. All requests to the upstream pass this node, so the sum over a
/// service's upstreams stays within the limit without coordination. Four rules keep the sum exact:
/// - An offer holds its repeat until it is sent or released, so that offers made at the same time
///   cannot pass the same check.
/// - The slack is divided by the most upstreams that were known within the window: the upstreams
///   that have left since may have used their shares.
/// - The share of the slack is a token bucket that starts empty and whose capacity plus one
///   window's refill make up the share. A restarted or replaced node therefore adds nothing to what
///   its predecessor has used within the window.
/// - A repeated run makes its calls again, and these arrive as repeats. A call counts as a repeat
///   like the run that makes it; where that run is unknown, by the share of repeats among the runs
///   that may be it.
/// The cost is that the slack is not available to a node in the first second or two, and that a
/// repeated run fails when the services that it calls have no room left.
/// Not synchronised.
class upstream_retry_budget {
public:
    upstream_retry_budget(service_retry_limit bound, time_point started_at);

    void set_limit(const service_retry_limit& bound) { this->limit = bound; }

    /// Whether a request may be offered a slot. `retry_share` is 1 for a repeat, 0 for a first
    /// request, and in between for a call that a repeated run may have made. Only requests that are
    /// at least as likely repeats as not are held back. `upstreams` is the number of upstreams of
    /// the service, 0 while it is unknown.
    bool has_room(double retry_share, std::size_t upstreams, time_point now);

    /// Holds the room of a request that is offered a slot.
    void hold(double retry_share) { this->held += retry_share; }
    /// Returns the room of an offer that was not used.
    void release(double retry_share);
    /// Records that a request whose room was held is sent to the upstream.
    void record_sent(double retry_share, time_point now);

private:
    struct sent_request {
        time_point at{};
        double first_share = 0;
        /// Part of the repeat that the ratio allowed; the slack paid the rest.
        double paid_by_ratio = 0;
    };
    struct upstream_count {
        time_point at{};
        std::size_t count = 0;
    };

    void remove_before(time_point now);
    void refill(std::size_t upstreams, time_point now);
    /// Repeats that the ratio still allows.
    double ratio_room(time_point now) const;

    service_retry_limit limit;
    std::deque<sent_request> sent;
    /// Numbers of upstreams known within the window, in decreasing order.
    std::deque<upstream_count> known_counts;
    double slack_tokens = 0;
    time_point refilled_at{};
    double held = 0;
};

} // namespace dragonflyroad
