#include "dispatch/cold_admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dragonflyroad {
namespace {

/// The bound is over one second. Requests are counted when they are handed to a connection; the
/// margin covers the time until a new connection is open and the bytes are on their way.
constexpr std::chrono::milliseconds bound_window{1'000};
constexpr std::chrono::milliseconds window_margin{50};

/// An upstream whose warm capacity is this many times the bound is limited only while it is known
/// or assumed to be cold: a permanent limit would cost more than two thirds of its capacity.
constexpr double max_capacity_ratio = 3;

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

std::size_t whole_requests(double requests)
{
    return static_cast<std::size_t>(std::max(std::floor(requests), 1.0));
}

} // namespace

cold_admission::cold_admission(time_point process_start) : history_starts_at(process_start) {}

void cold_admission::assume_cold(time_point now)
{
    this->assumed_until = std::max(this->assumed_until, now + this->limit.cold_time);
}

bool cold_admission::is_cold(time_point now) const
{
    return now < this->reported_until || now < this->assumed_until;
}

std::size_t cold_admission::window_limit(double warm_capacity, time_point now) const
{
    if (this->is_cold(now)) {
        return whole_requests(this->limit.requests_per_second);
    }
    const double bound = this->limit.requests_per_second * this->limit.overage + this->limit.slack;
    return warm_capacity > bound * max_capacity_ratio ? unlimited : whole_requests(bound);
}

std::chrono::milliseconds cold_admission::window(time_point now) const
{
    if (this->is_cold(now) && this->limit.requests_per_second < 1) {
        const double ms = static_cast<double>(bound_window.count());
        return window_margin + std::chrono::milliseconds{
                                   static_cast<std::int64_t>(ms / this->limit.requests_per_second)};
    }
    return bound_window + window_margin;
}

std::size_t cold_admission::sent_in_window(time_point now) const
{
    const auto first = std::ranges::upper_bound(this->sent, now - this->window(now));
    return static_cast<std::size_t>(this->sent.end() - first);
}

bool cold_admission::admits(std::size_t offered, double warm_capacity, time_point now) const
{
    if (!this->limit.is_set()) {
        return true;
    }
    const std::size_t most = this->window_limit(warm_capacity, now);
    if (most == unlimited) {
        return true;
    }
    return now >= this->history_starts_at + this->window(now) &&
           this->sent_in_window(now) + offered < most;
}

void cold_admission::record_sent(time_point now)
{
    this->sent.push_back(now);
    // An upstream that tolerates less than a request a second needs a longer history.
    const auto kept = this->limit.is_set()
                          ? std::max(this->window(now), bound_window + window_margin)
                          : bound_window + window_margin;
    while (this->sent.front() + kept < now) {
        this->sent.pop_front();
    }
}

std::chrono::milliseconds cold_admission::wait_for(std::size_t waiting, double warm_capacity,
                                                   time_point now) const
{
    if (!this->limit.is_set()) {
        return std::chrono::milliseconds{0};
    }
    const std::size_t most = this->window_limit(warm_capacity, now);
    if (most == unlimited) {
        return std::chrono::milliseconds{0};
    }
    const std::size_t used = this->sent_in_window(now);
    const std::size_t free = most - std::min(most, used);
    const double beyond = waiting < free ? 0 : static_cast<double>(waiting - free + 1);
    return std::chrono::milliseconds{static_cast<std::int64_t>(
        beyond / static_cast<double>(most) * static_cast<double>(this->window(now).count()))};
}

} // namespace dragonflyroad
