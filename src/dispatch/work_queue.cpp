#include "dispatch/work_queue.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Span over which departures are counted: longer than one run on today's sites (0.2 to 0.9 s), so
/// that a slot that turns over once in it is seen.
constexpr std::chrono::milliseconds departure_window{2'000};

/// Fewer departures than this say little about the rate.
constexpr std::size_t least_departures = 4;

/// Waiting requests per rank that a queue holds; memory stays below 1 MB.
constexpr std::size_t most_waiting = 1024;

} // namespace

void work_queue::set_capacity(std::size_t slots, std::chrono::milliseconds typical_run)
{
    const double run_seconds = std::max(std::chrono::duration<double>(typical_run).count(), 0.005);
    this->base_rate = static_cast<double>(std::max<std::size_t>(slots, 1)) / run_seconds;
}

bool work_queue::lane::is_empty() const
{
    return std::ranges::all_of(this->ranks,
                               [](const auto& item) { return item.second.size() == 0; });
}

void work_queue::lane::note_departure(time_point now)
{
    this->departures.push_back(now);
    while (this->departures.front() + departure_window < now) {
        this->departures.pop_front();
    }
}

double work_queue::lane::departures_per_second(time_point now, double least) const
{
    const auto first = std::ranges::find_if(
        this->departures, [&](time_point at) { return at + departure_window >= now; });
    const auto count = static_cast<std::size_t>(this->departures.end() - first);
    if (count < least_departures) {
        return least;
    }
    const double span = std::max(std::chrono::duration<double>(now - *first).count(), 0.1);
    return std::max(static_cast<double>(count) / span, least);
}

std::optional<wait_estimate> work_queue::push(const waiting_work& work, time_point now)
{
    const wait_estimate expected = this->estimate(work.rank, work.organisation, now);
    if (now + expected.wait > work.start_by) {
        return std::nullopt;
    }
    lane& target = this->lane_of(work.rank);
    if (target.is_empty()) {
        // A lane that was idle has saved nothing up.
        target.virtual_time = std::max(target.virtual_time,
                                       this->lanes[work.rank.is_new_request ? 0 : 1].virtual_time);
    }
    fair_queue& queue = target.ranks.try_emplace(work.rank, most_waiting).first->second;
    const auto displaced = queue.push(work.organisation, 1.0, work.ticket, work.start_by);
    if (displaced && displaced->ticket == work.ticket) {
        return std::nullopt;
    }
    if (displaced) {
        this->entries.erase(displaced->ticket);
    }
    this->entries.emplace(work.ticket, entry{work.organisation, work.rank, work.expected_run});
    return expected;
}

std::optional<queue_ticket> work_queue::pop_from(lane& source, time_point now)
{
    for (auto& [rank, queue] : source.ranks) {
        if (const auto ticket = queue.pop(now)) {
            const auto found = this->entries.find(*ticket);
            const std::chrono::duration<double> run = found->second.expected_run;
            source.virtual_time += std::max(run.count(), 0.001) / source.share;
            this->entries.erase(found);
            source.note_departure(now);
            return ticket;
        }
    }
    return std::nullopt;
}

std::optional<queue_ticket> work_queue::pop(time_point now)
{
    const bool calls_first = this->lanes[0].virtual_time <= this->lanes[1].virtual_time;
    lane& first = this->lanes[calls_first ? 0 : 1];
    lane& second = this->lanes[calls_first ? 1 : 0];
    const auto ticket = this->pop_from(first, now);
    return ticket ? ticket : this->pop_from(second, now);
}

bool work_queue::remove(queue_ticket ticket, time_point now)
{
    const auto found = this->entries.find(ticket);
    if (found == this->entries.end()) {
        return false;
    }
    lane& source = this->lane_of(found->second.rank);
    source.ranks.at(found->second.rank).cancel(found->second.organisation, ticket);
    source.note_departure(now);
    this->entries.erase(found);
    return true;
}

std::vector<queue_ticket> work_queue::expire(time_point now)
{
    std::vector<queue_ticket> expired;
    for (lane& source : this->lanes) {
        for (auto& [rank, queue] : source.ranks) {
            for (const shed_request& request : queue.shed(now)) {
                if (this->entries.erase(request.ticket) > 0) {
                    expired.push_back(request.ticket);
                }
            }
        }
    }
    return expired;
}

wait_estimate work_queue::estimate(const work_rank& rank, const organisation_id& organisation,
                                   time_point now) const
{
    const lane& own = this->lane_of(rank);
    std::size_t ahead = 0;
    for (const auto& [other, queue] : own.ranks) {
        if (other < rank) {
            ahead += queue.size();
        }
        else if (other == rank) {
            ahead += queue.ahead_of(organisation);
        }
    }
    const lane& other_lane = this->lanes[rank.is_new_request ? 0 : 1];
    const double least = this->base_rate * (other_lane.is_empty() ? 1 : own.share);
    const double seconds = static_cast<double>(ahead + 1) / own.departures_per_second(now, least);
    return {std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

} // namespace dragonflyroad
