#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <deque>

namespace dragonflyroad {

/// How much work an upstream tolerates while it is cold.
struct cold_limit {
    /// Requests a second that a cold upstream tolerates; 0 sets no limit.
    double requests_per_second = 0;
    /// In any one second a cold upstream gets at most requests_per_second * overage + slack.
    double overage = 1;
    double slack = 0;
    /// How long an upstream is cold after its start.
    std::chrono::milliseconds cold_time{0};

    bool is_set() const { return this->requests_per_second > 0; }
};

/// Decides when the node beside an upstream may send it the next request. All work of the fleet
/// for the upstream passes this node, so a bound here holds for the whole fleet, however many nodes
/// come, go or are out of touch. The load patterns: many nodes send at once to an upstream that has
/// just come back; an upstream becomes cold at any moment, before any report says so; the node
/// itself starts again beside a cold upstream.
///
/// While the upstream is known or assumed to be cold, it gets the rate that it tolerates. Otherwise
/// it gets at most what a cold upstream may get in one second, as it may have become cold
/// unnoticed; this second limit is lifted for upstreams whose warm capacity is far above it. In the
/// first second after the start of the process nothing is sent, since the earlier process may have
/// used up the bound. Not synchronised.
class cold_admission {
public:
    explicit cold_admission(time_point process_start);

    void set_limit(const cold_limit& latest) { this->limit = latest; }

    /// The time until which the upstream's latest report says that it is cold.
    void report_cold_until(time_point until) { this->reported_until = until; }
    /// The upstream may have become cold and its reports may not show it yet.
    void assume_cold(time_point now);

    bool is_cold(time_point now) const;

    /// Whether one more request may be sent while `offered` slots are offered and not yet taken.
    /// `warm_capacity` is the number of requests a second that the warm upstream can serve.
    bool admits(std::size_t offered, double warm_capacity, time_point now) const;
    void record_sent(time_point now);

    /// Time until `waiting` further requests have been admitted, when each is sent as soon as the
    /// limit allows; 0 without a limit.
    std::chrono::milliseconds wait_for(std::size_t waiting, double warm_capacity,
                                       time_point now) const;

private:
    /// Requests that may be sent within one window, or nothing when there is no limit.
    std::size_t window_limit(double warm_capacity, time_point now) const;
    std::chrono::milliseconds window(time_point now) const;
    std::size_t sent_in_window(time_point now) const;

    cold_limit limit;
    time_point history_starts_at{};
    time_point reported_until{};
    time_point assumed_until{};
    /// When the latest requests were sent, oldest first.
    std::deque<time_point> sent;
};

} // namespace dragonflyroad
