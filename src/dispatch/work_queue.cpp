#include "dispatch/work_queue.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Window over which departures are counted. It is longer than a typical run (0.2 to 0.9 s), so
/// that each busy slot shows at least one departure.
constexpr std::chrono::milliseconds departure_window{2'000};

/// Departures needed for an estimate of the rate; fewer are weak evidence.
constexpr std::size_t min_departures = 4;

/// Upper bound on the waiting requests per rank. It keeps the memory of the queue below 1 MB.
constexpr std::size_t max_waiting_per_rank = 1024;

} // namespace

void work_queue::set_capacity(std::size_t slots, std::chrono::milliseconds typical_run)
{
    const double run_seconds = std::max(std::chrono::duration<double>(typical_run).count(), 0.005);
    this->base_rate = static_cast<double>(std::max<std::size_t>(slots, 1)) / run_seconds;
}

bool work_queue::work_class::is_empty() const
{
    return std::ranges::all_of(this->ranks,
                               [](const auto& item) { return item.second.size() == 0; });
}

void work_queue::work_class::record_departure(time_point now)
{
    this->departures.push_back(now);
    while (this->departures.front() + departure_window < now) {
        this->departures.pop_front();
    }
}

double work_queue::work_class::departures_per_second(time_point now, double minimum_rate) const
{
    const auto first = std::ranges::find_if(
        this->departures, [&](time_point at) { return at + departure_window >= now; });
    const auto count = static_cast<std::size_t>(this->departures.end() - first);
    if (count < min_departures) {
        return minimum_rate;
    }
    const double span = std::max(std::chrono::duration<double>(now - *first).count(), 0.1);
    return std::max(static_cast<double>(count) / span, minimum_rate);
}

std::optional<wait_estimate> work_queue::push(const queued_request& work, time_point now)
{
    const wait_estimate expected = this->estimate(work.rank, work.organisation, now);
    if (now + expected.wait > work.latest_start) {
        return std::nullopt;
    }
    work_class& target = this->class_of(work.rank);
    if (target.is_empty()) {
        // A class earns no credit for the time during which it was empty.
        target.virtual_time = std::max(
            target.virtual_time, this->classes[work.rank.is_new_request ? 0 : 1].virtual_time);
    }
    fair_queue& queue = target.ranks.try_emplace(work.rank, max_waiting_per_rank).first->second;
    const auto displaced = queue.push(work.organisation, 1.0, work.ticket, work.latest_start);
    if (displaced && displaced->ticket == work.ticket) {
        return std::nullopt;
    }
    if (displaced) {
        this->entries.erase(displaced->ticket);
    }
    this->entries.emplace(work.ticket, entry{work.organisation, work.rank, work.expected_run});
    return expected;
}

std::optional<queue_ticket> work_queue::pop_from_class(work_class& source, time_point now)
{
    for (auto& [rank, queue] : source.ranks) {
        if (const auto ticket = queue.pop(now)) {
            const auto found = this->entries.find(*ticket);
            const std::chrono::duration<double> run = found->second.expected_run;
            source.virtual_time += std::max(run.count(), 0.001) / source.share;
            this->entries.erase(found);
            source.record_departure(now);
            return ticket;
        }
    }
    return std::nullopt;
}

std::optional<queue_ticket> work_queue::pop(time_point now)
{
    const bool calls_first = this->classes[0].virtual_time <= this->classes[1].virtual_time;
    work_class& first = this->classes[calls_first ? 0 : 1];
    work_class& second = this->classes[calls_first ? 1 : 0];
    const auto ticket = this->pop_from_class(first, now);
    return ticket ? ticket : this->pop_from_class(second, now);
}

bool work_queue::remove(queue_ticket ticket, time_point now)
{
    const auto found = this->entries.find(ticket);
    if (found == this->entries.end()) {
        return false;
    }
    work_class& source = this->class_of(found->second.rank);
    source.ranks.at(found->second.rank).cancel(found->second.organisation, ticket);
    source.record_departure(now);
    this->entries.erase(found);
    return true;
}

std::vector<queue_ticket> work_queue::expire(time_point now)
{
    std::vector<queue_ticket> expired;
    for (work_class& source : this->classes) {
        for (auto& [rank, queue] : source.ranks) {
            for (const shed_request& request : queue.remove_expired(now)) {
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
    const work_class& own = this->class_of(rank);
    std::size_t ahead = 0;
    for (const auto& [other, queue] : own.ranks) {
        if (other < rank) {
            ahead += queue.size();
        }
        else if (other == rank) {
            ahead += queue.ahead_of(organisation);
        }
    }
    const work_class& other_class = this->classes[rank.is_new_request ? 0 : 1];
    const double minimum_rate = this->base_rate * (other_class.is_empty() ? 1 : own.share);
    const double seconds =
        static_cast<double>(ahead + 1) / own.departures_per_second(now, minimum_rate);
    return {std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

std::chrono::milliseconds work_queue::drain_time(time_point now) const
{
    double seconds = 0;
    for (const work_class& own : this->classes) {
        std::size_t waiting = 0;
        for (const auto& [rank, queue] : own.ranks) {
            waiting += queue.size();
        }
        seconds += static_cast<double>(waiting) / own.departures_per_second(now, this->base_rate);
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)};
}

} // namespace dragonflyroad
