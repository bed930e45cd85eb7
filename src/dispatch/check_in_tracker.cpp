#include "dispatch/check_in_tracker.hpp"

namespace dragonflyroad {
namespace {

/// Upper bound on the departed lifetimes that are kept; a VM sees only a few in total.
constexpr std::size_t max_departed_lifetimes = 64;

} // namespace

bool check_in_tracker::has_left(const upstream_check_in& report) const
{
    const auto found = this->departed.find(report.id);
    return found != this->departed.end() && report.started_at <= found->second;
}

check_in_verdict check_in_tracker::apply(const upstream_check_in& report, time_point now)
{
    if (this->has_left(report)) {
        return check_in_verdict::outdated;
    }
    bool is_start = true;
    if (this->latest) {
        const local_upstream& known = *this->latest;
        is_start = known.id != report.id || known.started_at != report.started_at;
        const bool is_older =
            is_start ? report.started_at < known.started_at : report.sequence <= known.sequence;
        if (is_older) {
            return check_in_verdict::outdated;
        }
    }
    local_upstream next;
    next.id = report.id;
    next.address = report.address;
    next.service = report.service;
    next.slots = report.slots;
    next.is_draining = report.state == check_in_state::draining;
    next.cold_until = now + report.remaining_cold_start;
    next.sequence = report.sequence;
    next.started_at = report.started_at;
    this->latest = std::move(next);
    return is_start ? check_in_verdict::started : check_in_verdict::accepted;
}

bool check_in_tracker::record_deregistration(const std::string& id)
{
    const bool is_current = this->latest && this->latest->id == id;
    // A lifetime other than the current one is recorded as well. Its start is unknown, so it is
    // recorded as 0: a restarted upstream may keep the id, and its reports, which state a later
    // start, must be accepted.
    const std::int64_t started_at = is_current ? this->latest->started_at : 0;
    if (this->departed.size() >= max_departed_lifetimes) {
        this->departed.erase(this->departed.begin());
    }
    this->departed[id] = std::max(this->departed[id], started_at);
    if (is_current) {
        this->latest.reset();
    }
    return is_current;
}

} // namespace dragonflyroad
