#include "dispatch/upstream_retry_budget.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Share of the limit that this budget uses. A call's origin is known only by its probability, so a
/// window can hold more repeated calls than were counted.
constexpr double used_share = 0.9;

/// Capacity of the bucket of slack, as a part of this upstream's share; the rest is the refill of
/// one window. Failures come in bursts, so half is available at once.
constexpr double burst_part = 0.5;

/// Repeats are counted over the window plus this time, because the upstream reads a request up to
/// this much after it was sent.
constexpr std::chrono::milliseconds arrival_margin{250};

/// Time after which the nodes beside the other upstreams know of a new one and have reduced their
/// shares of the slack.
constexpr std::chrono::milliseconds discovery_time{3'000};

/// From this share on, a request is held back when there is no room for another repeat.
constexpr double min_declined_share = 0.5;

} // namespace

upstream_retry_budget::upstream_retry_budget(service_retry_limit bound, time_point started_at)
    : limit(bound), refilled_at(started_at)
{
}

void upstream_retry_budget::remove_before(time_point now)
{
    while (!this->sent.empty() &&
           this->sent.front().at < now - this->limit.window - arrival_margin) {
        this->sent.pop_front();
    }
    while (!this->known_counts.empty() &&
           this->known_counts.front().at < now - this->limit.window - discovery_time) {
        this->known_counts.pop_front();
    }
}

void upstream_retry_budget::refill(std::size_t upstreams, time_point now)
{
    const std::chrono::duration<double> elapsed = now - this->refilled_at;
    this->refilled_at = now;
    if (upstreams == 0) {
        return;
    }
    while (!this->known_counts.empty() && this->known_counts.back().count <= upstreams) {
        this->known_counts.pop_back();
    }
    this->known_counts.push_back({now, upstreams});
    const std::chrono::duration<double> window = this->limit.window;
    const double share =
        used_share * this->limit.slack / static_cast<double>(this->known_counts.front().count);
    const double refilled = share * (1 - burst_part) * elapsed.count() / window.count();
    this->slack_tokens = std::min(this->slack_tokens + refilled, share * burst_part);
}

double upstream_retry_budget::ratio_room(time_point now) const
{
    double room = 0;
    for (const sent_request& request : this->sent) {
        const bool is_in_window = request.at >= now - this->limit.window;
        room += is_in_window ? used_share * this->limit.ratio * request.first_share : 0;
        room -= request.paid_by_ratio;
    }
    return std::max(room, 0.0);
}

bool upstream_retry_budget::has_room(double retry_share, std::size_t upstreams, time_point now)
{
    this->remove_before(now);
    this->refill(upstreams, now);
    return retry_share < min_declined_share ||
           this->held + retry_share <= this->ratio_room(now) + this->slack_tokens;
}

void upstream_retry_budget::release(double retry_share)
{
    this->held = std::max(this->held - retry_share, 0.0);
}

void upstream_retry_budget::record_sent(double retry_share, time_point now)
{
    this->release(retry_share);
    const double paid_by_ratio = std::min(retry_share, this->ratio_room(now));
    // Calls that are not held back can overdraw the bucket, which repeats then wait for.
    this->slack_tokens -= retry_share - paid_by_ratio;
    this->sent.push_back({now, 1 - retry_share, paid_by_ratio});
}

} // namespace dragonflyroad
