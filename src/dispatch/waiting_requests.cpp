#include "dispatch/waiting_requests.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_idle_starts = 1024;

/// Slot time charged for a request at least, so that requests of unknown length are not free.
constexpr double min_slot_seconds = 0.005;

bool is_before(const waiting_request& left, const waiting_request& right)
{
    return std::pair{left.on_time_until, left.ticket} <
           std::pair{right.on_time_until, right.ticket};
}

} // namespace

std::size_t waiting_requests::first_on_time(const flow& queue, time_point now)
{
    const auto first = std::ranges::partition_point(
        queue.entries, [&](const waiting_request& entry) { return entry.on_time_until < now; });
    return static_cast<std::size_t>(first - queue.entries.begin());
}

std::optional<queue_ticket> waiting_requests::push(const waiting_request& request)
{
    auto [place, is_new] = this->flows.try_emplace(request.organisation);
    flow& queue = place->second;
    if (is_new) {
        const auto before = this->idle_starts.find(request.organisation);
        queue.start = this->virtual_time;
        if (before != this->idle_starts.end()) {
            queue.start = std::max(queue.start, before->second);
            this->idle_starts.erase(before);
        }
    }
    queue.entries.insert(std::ranges::upper_bound(queue.entries, request, is_before), request);
    this->last_starts.insert({request.late_until, {request.ticket, request.organisation}});
    ++this->waiting;
    if (this->waiting <= this->capacity) {
        return std::nullopt;
    }
    const auto longest =
        std::ranges::max_element(this->flows, [](const auto& left, const auto& right) {
            return left.second.entries.size() < right.second.entries.size();
        });
    const auto& entries = longest->second.entries;
    const auto newest = std::ranges::max_element(entries, {}, &waiting_request::ticket);
    const queue_ticket removed = newest->ticket;
    this->erase(longest, static_cast<std::size_t>(newest - entries.begin()));
    return removed;
}

void waiting_requests::erase(flow_map::iterator place, std::size_t index)
{
    flow& queue = place->second;
    const waiting_request removed = queue.entries[index];
    queue.entries.erase(queue.entries.begin() + static_cast<std::ptrdiff_t>(index));
    this->last_starts.erase({removed.late_until, {removed.ticket, removed.organisation}});
    --this->waiting;
    if (queue.entries.empty()) {
        this->idle_starts[place->first] = queue.start;
        this->flows.erase(place);
    }
    if (this->idle_starts.size() > max_idle_starts) {
        std::erase_if(this->idle_starts,
                      [&](const auto& named) { return named.second <= this->virtual_time; });
    }
}

waiting_requests::flow_map::const_iterator waiting_requests::next_flow(bool is_on_time,
                                                                       time_point now) const
{
    auto next = this->flows.end();
    for (auto place = this->flows.begin(); place != this->flows.end(); ++place) {
        const flow& queue = place->second;
        const bool has_work = is_on_time ? queue.entries.back().on_time_until >= now
                                         : queue.entries.front().on_time_until < now;
        if (has_work && (next == this->flows.end() || queue.start < next->second.start ||
                         (queue.start == next->second.start && place->first < next->first))) {
            next = place;
        }
    }
    return next;
}

waiting_requests::flow_map::const_iterator waiting_requests::most_urgent_flow(time_point now) const
{
    auto urgent = this->flows.end();
    time_point earliest = time_point::max();
    for (auto place = this->flows.begin(); place != this->flows.end(); ++place) {
        const std::size_t index = first_on_time(place->second, now);
        if (index < place->second.entries.size() &&
            place->second.entries[index].on_time_until < earliest) {
            urgent = place;
            earliest = place->second.entries[index].on_time_until;
        }
    }
    return urgent;
}

std::optional<std::chrono::milliseconds> waiting_requests::pressing_run(time_point now) const
{
    const auto urgent = this->most_urgent_flow(now);
    if (urgent != this->flows.end()) {
        const waiting_request& entry = urgent->second.entries[first_on_time(urgent->second, now)];
        if (entry.on_time_until - now < entry.expected_run) {
            return entry.expected_run;
        }
    }
    const auto late = this->next_flow(false, now);
    return late == this->flows.end() ? std::nullopt
                                     : std::optional{late->second.entries.front().expected_run};
}

time_point waiting_requests::next_loss(time_point now) const
{
    time_point earliest = time_point::max();
    for (const auto& [organisation, queue] : this->flows) {
        const std::size_t index = first_on_time(queue, now);
        if (index < queue.entries.size()) {
            earliest = std::min(earliest, queue.entries[index].on_time_until);
        }
    }
    return this->last_starts.empty() ? earliest
                                     : std::min(earliest, this->last_starts.begin()->first);
}

bool waiting_requests::can_wait(double start, std::chrono::milliseconds run, time_point now) const
{
    return std::ranges::all_of(this->flows, [&](const auto& named) {
        const flow& queue = named.second;
        const std::size_t index = first_on_time(queue, now);
        return queue.start >= start || index == queue.entries.size() ||
               queue.entries[index].on_time_until > now + min_spare_runs * run;
    });
}

waiting_requests::turn waiting_requests::choose_turn(time_point now) const
{
    const auto urgent = this->most_urgent_flow(now);
    const auto late = this->next_flow(false, now);
    if (urgent == this->flows.end()) {
        return {late, 0};
    }
    const flow& queue = urgent->second;
    const waiting_request& first = queue.entries[first_on_time(queue, now)];
    if (first.on_time_until - now < first.expected_run &&
        this->can_wait(queue.start, first.expected_run, now)) {
        return {urgent, first_on_time(queue, now)};
    }
    if (late != this->flows.end() &&
        first.on_time_until > now + min_spare_runs * late->second.entries.front().expected_run) {
        return {late, 0};
    }
    const auto next = this->next_flow(true, now);
    return {next, first_on_time(next->second, now)};
}

std::optional<queue_ticket> waiting_requests::pop(time_point now)
{
    this->remove_expired(now);
    const turn chosen = this->choose_turn(now);
    if (chosen.flow == this->flows.end()) {
        return std::nullopt;
    }
    const auto place = this->flows.find(chosen.flow->first);
    flow& queue = place->second;
    const waiting_request next = queue.entries[chosen.index];
    const std::chrono::duration<double> run = next.expected_run;
    this->virtual_time = std::max(this->virtual_time, queue.start);
    queue.start += std::max(run.count(), min_slot_seconds);
    this->erase(place, chosen.index);
    return next.ticket;
}

bool waiting_requests::remove(const organisation_id& organisation, queue_ticket ticket)
{
    const auto place = this->flows.find(organisation);
    if (place == this->flows.end()) {
        return false;
    }
    const auto& entries = place->second.entries;
    const auto found = std::ranges::find(entries, ticket, &waiting_request::ticket);
    if (found == entries.end()) {
        return false;
    }
    this->erase(place, static_cast<std::size_t>(found - entries.begin()));
    return true;
}

void waiting_requests::remove_expired(time_point now)
{
    while (!this->last_starts.empty() && this->last_starts.begin()->first <= now) {
        const auto [ticket, organisation] = this->last_starts.begin()->second;
        this->remove(organisation, ticket);
        this->expired.push_back(ticket);
    }
}

std::vector<queue_ticket> waiting_requests::expire(time_point now)
{
    this->remove_expired(now);
    return std::exchange(this->expired, {});
}

std::size_t waiting_requests::ahead_on_time(const organisation_id& organisation,
                                            time_point on_time_until, time_point now) const
{
    const auto on_time_before = [&](const flow& queue, time_point until) {
        const auto last =
            std::ranges::partition_point(queue.entries, [&](const waiting_request& entry) {
                return entry.on_time_until <= until;
            });
        const auto end = static_cast<std::size_t>(last - queue.entries.begin());
        const std::size_t first = first_on_time(queue, now);
        return end > first ? end - first : 0;
    };
    const auto own = this->flows.find(organisation);
    const std::size_t own_ahead =
        own == this->flows.end() ? 0 : on_time_before(own->second, on_time_until);
    std::size_t ahead = own_ahead;
    for (const auto& [other, queue] : this->flows) {
        if (other != organisation) {
            ahead += std::min(on_time_before(queue, time_point::max()), own_ahead + 1);
        }
    }
    return ahead;
}

} // namespace dragonflyroad
