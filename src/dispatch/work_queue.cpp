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

std::optional<wait_estimate> work_queue::push(const waiting_work& work, time_point now)
{
    const wait_estimate expected = this->estimate(work.rank, now);
    if (now + expected.wait > work.start_by) {
        return std::nullopt;
    }
    fair_queue& queue = this->ranks.try_emplace(work.rank, most_waiting).first->second;
    const auto displaced = queue.push(work.organisation, 1.0, work.ticket, work.start_by);
    if (displaced && displaced->ticket == work.ticket) {
        return std::nullopt;
    }
    if (displaced) {
        this->entries.erase(displaced->ticket);
    }
    this->entries.emplace(work.ticket, entry{work.organisation, work.rank});
    return expected;
}

std::optional<queue_ticket> work_queue::pop(time_point now)
{
    for (auto& [rank, queue] : this->ranks) {
        if (const auto ticket = queue.pop(now)) {
            this->entries.erase(*ticket);
            this->note_departure(now);
            return ticket;
        }
    }
    return std::nullopt;
}

bool work_queue::remove(queue_ticket ticket, time_point now)
{
    const auto found = this->entries.find(ticket);
    if (found == this->entries.end()) {
        return false;
    }
    this->ranks.at(found->second.rank).cancel(found->second.organisation, ticket);
    this->entries.erase(found);
    this->note_departure(now);
    return true;
}

std::vector<queue_ticket> work_queue::expire(time_point now)
{
    std::vector<queue_ticket> expired;
    for (auto& [rank, queue] : this->ranks) {
        for (const shed_request& request : queue.shed(now)) {
            if (this->entries.erase(request.ticket) > 0) {
                expired.push_back(request.ticket);
            }
        }
    }
    return expired;
}

wait_estimate work_queue::estimate(const work_rank& rank, time_point now) const
{
    std::size_t ahead = 0;
    for (const auto& [other, queue] : this->ranks) {
        if (other <= rank) {
            ahead += queue.size();
        }
    }
    const double seconds = static_cast<double>(ahead + 1) / this->departures_per_second(now);
    return {std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

void work_queue::note_departure(time_point now)
{
    this->departures.push_back(now);
    while (this->departures.front() + departure_window < now) {
        this->departures.pop_front();
    }
}

double work_queue::departures_per_second(time_point now) const
{
    const auto first = std::ranges::find_if(
        this->departures, [&](time_point at) { return at + departure_window >= now; });
    const auto count = static_cast<std::size_t>(this->departures.end() - first);
    if (count < least_departures) {
        return this->base_rate;
    }
    const double span = std::max(std::chrono::duration<double>(now - *first).count(), 0.1);
    return std::max(static_cast<double>(count) / span, this->base_rate);
}

} // namespace dragonflyroad
