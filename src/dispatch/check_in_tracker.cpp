#include "dispatch/check_in_tracker.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Recorded for a lifetime that left without stating its start while this process did not know it.
constexpr std::int64_t unstated_start = 0;

} // namespace

void check_in_tracker::withhold(std::int64_t left_start)
{
    this->latest->is_withheld = true;
    this->departed.add(this->latest->id, left_start);
}

bool check_in_tracker::has_left_unstated(const std::string& id) const
{
    const auto found = this->departed.all().find(id);
    return found != this->departed.all().end() && found->second == unstated_start;
}

check_in_verdict check_in_tracker::apply_late_draining(const upstream_check_in& report)
{
    if (this->latest->id != report.id) {
        this->departed.add(report.id, report.started_at);
        return check_in_verdict::outdated;
    }
    if (this->latest->started_at == report.started_at) {
        this->latest->is_draining = true;
        return check_in_verdict::accepted;
    }
    this->withhold(report.started_at);
    return check_in_verdict::withheld;
}

check_in_verdict check_in_tracker::apply(const upstream_check_in& report, time_point now)
{
    if (this->departed.contains(report.id, report.started_at)) {
        return check_in_verdict::outdated;
    }
    bool is_start = true;
    if (this->latest) {
        const local_upstream& known = *this->latest;
        is_start = known.id != report.id || known.started_at != report.started_at;
        const bool is_older =
            is_start ? report.started_at < known.started_at : report.sequence <= known.sequence;
        if (is_older && report.state == check_in_state::draining) {
            return this->apply_late_draining(report);
        }
        if (is_older) {
            return check_in_verdict::outdated;
        }
    }
    local_upstream next;
    next.id = report.id;
    next.address = report.address;
    next.service = report.service;
    next.slots = report.slots;
    // A lifetime that has said that it drains stays departed: that was acknowledged.
    next.is_draining = report.state == check_in_state::draining ||
                       (!is_start && this->latest && this->latest->is_draining);
    next.cold_until = now + report.remaining_cold_start;
    next.sequence = report.sequence;
    next.started_at = report.started_at;
    next.is_withheld = is_start && this->has_left_unstated(report.id);
    if (is_start && this->latest && this->latest->is_draining) {
        this->departed.add(this->latest->id, this->latest->started_at);
    }
    this->latest = std::move(next);
    return is_start ? check_in_verdict::started : check_in_verdict::accepted;
}

bool check_in_tracker::record_deregistration(const std::string& id,
                                             std::optional<std::int64_t> stated_start)
{
    // The call may be late: a restarted upstream may keep the id, and an earlier start that is
    // stated shows that the call is not of the current lifetime.
    const bool is_current =
        this->latest && this->latest->id == id &&
        stated_start.value_or(this->latest->started_at) >= this->latest->started_at;
    // A lifetime other than the current one is recorded as well. Where its start is not known,
    // reports of a later start are accepted, since the upstream may have restarted under its id;
    // see has_left_unstated().
    const std::int64_t known_start = is_current ? this->latest->started_at : unstated_start;
    this->departed.add(id, std::max(known_start, stated_start.value_or(unstated_start)));
    if (is_current) {
        this->latest.reset();
    }
    else if (this->latest && this->latest->id == id) {
        this->latest->is_withheld = true;
    }
    return is_current;
}

departed_lifetimes check_in_tracker::departures() const
{
    departed_lifetimes result = this->departed;
    if (this->latest && this->latest->is_draining) {
        result.add(this->latest->id, this->latest->started_at);
    }
    return result;
}

bool check_in_tracker::restore(const departed_lifetimes& recorded)
{
    bool is_discarded = false;
    for (const auto& [id, started_at] : recorded.all()) {
        const bool is_current =
            this->latest && this->latest->id == id && this->latest->started_at <= started_at;
        if (is_current && this->latest->is_draining) {
            // This process recorded it itself; its later reports are still accepted.
            continue;
        }
        if (is_current) {
            this->latest.reset();
            is_discarded = true;
        }
        this->departed.add(id, started_at);
        if (this->latest && this->latest->id == id && this->has_left_unstated(id)) {
            this->latest->is_withheld = true;
            is_discarded = true;
        }
    }
    return is_discarded;
}

} // namespace dragonflyroad
