#include "dispatch/work_queue.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Window over which departures are counted. It is longer than a typical run (0.2 to 0.9 s), so
/// that each busy slot shows at least one departure.
constexpr std::chrono::milliseconds departure_window{2'000};

/// Part of the departures that late requests are expected to get at least. It bounds the estimate
/// while all slots go to requests that are on time.
constexpr double min_late_part = 0.25;

/// Departures needed for an estimate of the rate; fewer are weak evidence.
constexpr std::size_t min_departures = 4;

/// Upper bound on the waiting requests per rank. It keeps the memory of the queue below 1 MB.
constexpr std::size_t max_waiting_per_rank = 1024;

std::deque<time_point>::const_iterator first_in_window(const std::deque<time_point>& events,
                                                       time_point now)
{
    return std::ranges::find_if(events,
                                [&](time_point at) { return at + departure_window >= now; });
}

wait_estimate to_estimate(std::size_t ahead, double per_second)
{
    const double seconds = static_cast<double>(ahead + 1) / per_second;
    return {std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
}

void record_event(std::deque<time_point>& events, time_point now)
{
    events.push_back(now);
    while (events.front() + departure_window < now) {
        events.pop_front();
    }
}

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

double work_queue::work_class::departures_per_second(time_point now, double minimum_rate) const
{
    const auto first = first_in_window(this->departures, now);
    const auto count = static_cast<std::size_t>(this->departures.end() - first);
    if (count < min_departures) {
        return minimum_rate;
    }
    const double span = std::max(std::chrono::duration<double>(now - *first).count(), 0.1);
    return std::max(static_cast<double>(count) / span, minimum_rate);
}

double work_queue::work_class::on_time_arrivals_per_second(time_point now) const
{
    const auto first = first_in_window(this->on_time_arrivals, now);
    const std::chrono::duration<double> window = departure_window;
    return static_cast<double>(this->on_time_arrivals.end() - first) / window.count();
}

std::optional<wait_estimate> work_queue::push(const queued_request& work, time_point now)
{
    wait_estimate expected = this->estimate(work, now);
    waiting_request request{work.ticket, work.organisation, work.latest_start,
                            std::max(work.latest_start, work.latest_late_start), work.expected_run};
    if (now + expected.wait > work.latest_start) {
        expected = this->estimate_late(work.rank, now);
        if (now + expected.wait > work.latest_late_start) {
            return std::nullopt;
        }
        request.on_time_until = now - std::chrono::milliseconds{1};
    }
    work_class& target = this->class_of(work.rank);
    if (target.is_empty()) {
        // A class earns no credit for the time during which it was empty.
        target.virtual_time = std::max(
            target.virtual_time, this->classes[work.rank.is_new_request ? 0 : 1].virtual_time);
    }
    if (request.on_time_until >= now) {
        record_event(target.on_time_arrivals, now);
    }
    auto& queue = target.ranks.try_emplace(work.rank, max_waiting_per_rank).first->second;
    const auto displaced = queue.push(request);
    if (displaced == work.ticket) {
        return std::nullopt;
    }
    if (displaced) {
        this->entries.erase(*displaced);
    }
    this->entries.emplace(work.ticket, entry{work.organisation, work.rank, work.expected_run});
    return expected;
}

waiting_requests* work_queue::work_class::next_rank(time_point now)
{
    waiting_requests* first = nullptr;
    time_point next_loss = time_point::max();
    for (auto& [rank, queue] : this->ranks) {
        if (queue.size() == 0) {
            continue;
        }
        const auto run = queue.pressing_run(now);
        if (first != nullptr && run && now + min_spare_runs * *run < next_loss) {
            return &queue;
        }
        first = first == nullptr ? &queue : first;
        next_loss = std::min(next_loss, queue.next_loss(now));
    }
    return first;
}

std::optional<queue_ticket> work_queue::pop_from_class(work_class& source, time_point now)
{
    while (waiting_requests* const queue = source.next_rank(now)) {
        if (const auto ticket = queue->pop(now)) {
            const auto found = this->entries.find(*ticket);
            const std::chrono::duration<double> run = found->second.expected_run;
            source.virtual_time += std::max(run.count(), 0.001) / source.share;
            this->entries.erase(found);
            record_event(source.departures, now);
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
    source.ranks.at(found->second.rank).remove(found->second.organisation, ticket);
    record_event(source.departures, now);
    this->entries.erase(found);
    return true;
}

std::vector<queue_ticket> work_queue::expire(time_point now)
{
    std::vector<queue_ticket> expired;
    for (work_class& source : this->classes) {
        for (auto& [rank, queue] : source.ranks) {
            for (const queue_ticket ticket : queue.expire(now)) {
                if (this->entries.erase(ticket) > 0) {
                    expired.push_back(ticket);
                }
            }
        }
    }
    return expired;
}

wait_estimate work_queue::estimate(const queued_request& work, time_point now) const
{
    std::size_t ahead = 0;
    for (const auto& [other, queue] : this->class_of(work.rank).ranks) {
        if (other < work.rank) {
            ahead += queue.size();
        }
        else if (other == work.rank) {
            ahead += queue.ahead_on_time(work.organisation, work.latest_start, now);
        }
    }
    return to_estimate(ahead, this->departures_per_second(work.rank, now));
}

wait_estimate work_queue::estimate_late(const work_rank& rank, time_point now) const
{
    const work_class& own = this->class_of(rank);
    std::size_t ahead = 0;
    for (const auto& [other, queue] : own.ranks) {
        ahead += rank < other ? 0 : queue.size();
    }
    // Requests that arrive later and can be on time go first.
    const double departures = this->departures_per_second(rank, now);
    return to_estimate(ahead, std::max(departures - own.on_time_arrivals_per_second(now),
                                       departures * min_late_part));
}

double work_queue::departures_per_second(const work_rank& rank, time_point now) const
{
    const work_class& own = this->class_of(rank);
    const work_class& other_class = this->classes[rank.is_new_request ? 0 : 1];
    return own.departures_per_second(now,
                                     this->base_rate * (other_class.is_empty() ? 1 : own.share));
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
