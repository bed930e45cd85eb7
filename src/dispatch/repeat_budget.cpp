#include "dispatch/repeat_budget.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// Part of the bound that is used: calls that a repeated run makes count as repeats at the service
/// called, and they are not known here.
constexpr double used_part = 0.6;

} // namespace

void repeat_budget::refill(std::size_t upstreams, time_point now)
{
    const std::chrono::duration<double> window = this->limit.window;
    const std::chrono::duration<double> age = now - this->earned_at;
    this->earned *= std::exp(-std::max(age.count(), 0.0) / window.count());
    this->earned_at = now;
    // Half is held at once and half refills within the window, so that no window exceeds the part.
    const double part =
        this->limit.slack * used_part / static_cast<double>(std::max<std::size_t>(upstreams, 1));
    const double held = std::max(part / 2, 1.0);
    if (this->slack.last_refill() == time_point{}) {
        this->slack = token_bucket{held, now};
    }
    this->slack.refill(part / 2 / window.count(), held, now);
}

void repeat_budget::note_first(time_point now)
{
    const std::chrono::duration<double> window = this->limit.window;
    const std::chrono::duration<double> age = now - this->earned_at;
    this->earned = this->earned * std::exp(-std::max(age.count(), 0.0) / window.count()) +
                   this->limit.ratio * used_part;
    this->earned_at = now;
}

bool repeat_budget::has_room(std::size_t upstreams, time_point now)
{
    this->refill(upstreams, now);
    return this->earned >= 1 || (this->earned >= 0 && this->slack.available() >= 1);
}

void repeat_budget::spend(std::size_t upstreams, time_point now)
{
    this->refill(upstreams, now);
    if (this->earned >= 1 || !this->slack.take()) {
        this->earned -= 1;
    }
}

} // namespace dragonflyroad
