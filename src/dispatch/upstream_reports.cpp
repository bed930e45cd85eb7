#include "dispatch/upstream_reports.hpp"

namespace dragonflyroad {
namespace {

/// Departed lifetimes that are remembered; one VM sees a handful in its life.
constexpr std::size_t most_departed = 64;

} // namespace

bool upstream_reports::has_left(const upstream_report& report) const
{
    const auto found = this->departed.find(report.id);
    return found != this->departed.end() && report.started_at <= found->second;
}

report_verdict upstream_reports::apply(const upstream_report& report, time_point now)
{
    if (this->has_left(report)) {
        return report_verdict::outdated;
    }
    bool is_start = true;
    if (this->latest) {
        const local_upstream& known = *this->latest;
        is_start = known.id != report.id || known.started_at != report.started_at;
        const bool is_older =
            is_start ? report.started_at < known.started_at : report.sequence <= known.sequence;
        if (is_older) {
            return report_verdict::outdated;
        }
    }
    local_upstream next;
    next.id = report.id;
    next.address = report.address;
    next.service = report.service;
    next.slots = report.slots;
    next.is_draining = report.state == upstream_state::draining;
    next.cold_until = now + report.cold_for;
    next.sequence = report.sequence;
    next.started_at = report.started_at;
    this->latest = std::move(next);
    return is_start ? report_verdict::started : report_verdict::accepted;
}

bool upstream_reports::leave(const std::string& id)
{
    const bool is_current = this->latest && this->latest->id == id;
    // A lifetime that leaves before it was known here is remembered too; without its start, none of
    // that id that started earlier than now can be told apart, so only the current start is taken.
    const std::int64_t started_at = is_current ? this->latest->started_at : 0;
    if (this->departed.size() >= most_departed) {
        this->departed.erase(this->departed.begin());
    }
    this->departed[id] = std::max(this->departed[id], started_at);
    if (is_current) {
        this->latest.reset();
    }
    return is_current;
}

} // namespace dragonflyroad
