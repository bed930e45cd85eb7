#include "dispatch/service_load.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// How long a report counts: a few typical runs (0.2 to 0.9 s), after which none of the work that
/// it counted is left.
constexpr milliseconds report_lifetime{2'000};

/// VMs that are remembered, above the size of the largest fleet. VMs leave and get new names, so
/// beyond this number those without a recent report are dropped.
constexpr std::size_t max_known_vms = 1024;

} // namespace

void service_load::record(const node_id& vm, const upstream_load_report& report, time_point now)
{
    if (report.slots == 0) {
        return;
    }
    if (this->known.size() >= max_known_vms) {
        std::erase_if(this->known, [&](const auto& item) {
            return now > item.second.reported_at + report_lifetime;
        });
    }
    known_load& state = this->known[vm];
    state.report = report;
    state.reported_at = now;
    state.sent_since = 0;
}

void service_load::record_sent(const node_id& vm, time_point now)
{
    known_load& state = this->known[vm];
    ++state.sent_since;
    state.last_sent_at = now;
}

void service_load::forget(const node_id& vm)
{
    this->known.erase(vm);
}

bool service_load::is_recent(const known_load& state, time_point now)
{
    return state.report.slots > 0 && now <= state.reported_at + report_lifetime;
}

const service_load::known_load* service_load::find_recent(const node_id& vm, time_point now) const
{
    const auto found = this->known.find(vm);
    return found != this->known.end() && is_recent(found->second, now) ? &found->second : nullptr;
}

milliseconds service_load::wait_of(const known_load& state, time_point now)
{
    const upstream_load_report& report = state.report;
    const std::int64_t work =
        std::int64_t{report.busy} + report.waiting + state.sent_since + 1 - report.slots;
    if (work <= 0) {
        return milliseconds{0};
    }
    // With all slots in use, one run ends in every typical run time divided by the slots.
    const milliseconds wait = report.typical_run * work / report.slots;
    return std::max(wait - milliseconds_between(state.reported_at, now), milliseconds{0});
}

std::optional<milliseconds> service_load::expected_wait(const node_id& vm, time_point now) const
{
    return this->estimate(vm, now).wait;
}

load_estimate service_load::estimate(const node_id& vm, time_point now) const
{
    const auto found = this->known.find(vm);
    load_estimate result;
    if (found == this->known.end() || found->second.report.slots == 0) {
        return result;
    }
    const known_load& state = found->second;
    if (is_recent(state, now)) {
        result.wait = wait_of(state, now);
    }
    if (state.last_sent_at != time_point{}) {
        result.since_asked = now - state.last_sent_at;
    }
    return result;
}

std::optional<milliseconds> service_load::report_age(const node_id& vm, time_point now) const
{
    const known_load* state = this->find_recent(vm, now);
    return state == nullptr ? std::nullopt
                            : std::optional{milliseconds_between(state->reported_at, now)};
}

std::optional<milliseconds> service_load::shortest_wait(const std::vector<node_id>& vms,
                                                        time_point now) const
{
    std::size_t reported = 0;
    std::optional<milliseconds> shortest;
    for (const node_id& vm : vms) {
        if (const auto wait = this->expected_wait(vm, now)) {
            ++reported;
            shortest = std::min(shortest.value_or(*wait), *wait);
        }
    }
    const bool has_evidence = reported >= 2 && reported * 2 >= vms.size();
    return has_evidence ? shortest : std::nullopt;
}

} // namespace dragonflyroad
