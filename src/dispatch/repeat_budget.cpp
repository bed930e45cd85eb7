#include "dispatch/repeat_budget.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// Part of the bound that is used: calls that a repeated run makes count as repeats at the service
/// called, and they are not known here.
constexpr double used_part = 0.6;

} // namespace

double repeat_budget::faded(const account& entry, time_point now) const
{
    const std::chrono::duration<double> age = now - entry.earned_at;
    const std::chrono::duration<double> window = this->limit.window;
    return entry.earned * std::exp(-std::max(age.count(), 0.0) / window.count());
}

void repeat_budget::note_request(const service_name& service, time_point now)
{
    account& entry = this->accounts[service];
    entry.earned = this->faded(entry, now) + this->limit.ratio * used_part;
    entry.earned_at = now;
}

bool repeat_budget::take(const service_name& service, std::size_t fleet_size, time_point now)
{
    account& entry = this->accounts[service];
    entry.earned = this->faded(entry, now);
    entry.earned_at = now;
    if (entry.earned >= 1) {
        entry.earned -= 1;
        return true;
    }
    // Half is held at once and half refills within the window, so that no window exceeds the part.
    const double part =
        this->limit.slack * used_part / static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    const double held = std::max(part / 2, 1.0);
    const std::chrono::duration<double> window = this->limit.window;
    if (entry.slack.last_refill() == time_point{}) {
        entry.slack = token_bucket{held, now};
    }
    entry.slack.refill(part / 2 / window.count(), held, now);
    return entry.slack.take();
}

} // namespace dragonflyroad
