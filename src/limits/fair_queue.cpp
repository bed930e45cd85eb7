#include "limits/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// An organisation with a weight of zero or less would never be served.
constexpr double min_weight = 1e-3;
constexpr std::size_t max_idle_starts = 1024;

} // namespace

void fair_queue::remove_deadline(const organisation_id& organisation, const entry& request)
{
    this->deadlines.erase({request.deadline, {request.ticket, organisation}});
    --this->waiting;
}

void fair_queue::remove_if_empty(flow_map::iterator place)
{
    if (place->second.entries.empty()) {
        this->idle_starts[place->first] = place->second.start;
        this->flows.erase(place);
    }
    if (this->idle_starts.size() > max_idle_starts) {
        std::erase_if(this->idle_starts,
                      [&](const auto& named) { return named.second <= this->virtual_time; });
    }
}

fair_queue::flow_map::iterator fair_queue::flow_most_above_share()
{
    const auto excess = [](const flow& queue) {
        return static_cast<double>(queue.entries.size()) / queue.weight;
    };
    return std::max_element(this->flows.begin(), this->flows.end(),
                            [&](const auto& left, const auto& right) {
                                const double first = excess(left.second);
                                const double second = excess(right.second);
                                return first != second ? first < second : left.first < right.first;
                            });
}

fair_queue::flow_map::iterator fair_queue::next_flow()
{
    return std::min_element(
        this->flows.begin(), this->flows.end(), [](const auto& left, const auto& right) {
            return left.second.start != right.second.start ? left.second.start < right.second.start
                                                           : left.first < right.first;
        });
}

std::optional<shed_request> fair_queue::push(const organisation_id& organisation, double weight,
                                             queue_ticket ticket, time_point deadline)
{
    auto [place, added] = this->flows.try_emplace(organisation);
    flow& queue = place->second;
    queue.weight = std::max(weight, min_weight);
    if (added) {
        const auto before = this->idle_starts.find(organisation);
        queue.start = this->virtual_time;
        if (before != this->idle_starts.end()) {
            queue.start = std::max(queue.start, before->second);
            this->idle_starts.erase(before);
        }
    }
    queue.entries.push_back({ticket, deadline});
    this->deadlines.insert({deadline, {ticket, organisation}});
    ++this->waiting;
    if (this->waiting <= this->capacity) {
        return std::nullopt;
    }
    const auto victim = this->flow_most_above_share();
    const entry dropped = victim->second.entries.back();
    const organisation_id name = victim->first;
    victim->second.entries.pop_back();
    this->remove_deadline(name, dropped);
    this->remove_if_empty(victim);
    return shed_request{dropped.ticket, name, refusal_reason::overload_shed};
}

std::optional<queue_ticket> fair_queue::pop(time_point now)
{
    this->expire(now);
    if (this->flows.empty()) {
        return std::nullopt;
    }
    const auto place = this->next_flow();
    flow& queue = place->second;
    const entry request = queue.entries.front();
    queue.entries.pop_front();
    this->virtual_time = std::max(this->virtual_time, queue.start);
    queue.start += 1 / queue.weight;
    this->remove_deadline(place->first, request);
    this->remove_if_empty(place);
    return request.ticket;
}

void fair_queue::expire(time_point now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto [ticket, organisation] = this->deadlines.begin()->second;
        this->cancel(organisation, ticket);
        this->expired.push_back({ticket, organisation, refusal_reason::queue_timeout});
    }
}

std::vector<shed_request> fair_queue::remove_expired(time_point now)
{
    this->expire(now);
    return std::exchange(this->expired, {});
}

bool fair_queue::cancel(const organisation_id& organisation, queue_ticket ticket)
{
    const auto place = this->flows.find(organisation);
    if (place == this->flows.end()) {
        return false;
    }
    auto& entries = place->second.entries;
    const auto request = std::find_if(entries.begin(), entries.end(), [&](const entry& candidate) {
        return candidate.ticket == ticket;
    });
    if (request == entries.end()) {
        return false;
    }
    const entry removed = *request;
    entries.erase(request);
    this->remove_deadline(organisation, removed);
    this->remove_if_empty(place);
    return true;
}

std::optional<time_point> fair_queue::next_deadline() const
{
    return this->deadlines.empty() ? std::nullopt : std::optional{this->deadlines.begin()->first};
}

std::size_t fair_queue::size_of(const organisation_id& organisation) const
{
    const auto place = this->flows.find(organisation);
    return place == this->flows.end() ? 0 : place->second.entries.size();
}

std::size_t fair_queue::ahead_of(const organisation_id& organisation) const
{
    const std::size_t turns = this->size_of(organisation) + 1;
    std::size_t ahead = 0;
    for (const auto& [other, queue] : this->flows) {
        ahead += std::min(queue.entries.size(), turns);
    }
    return ahead;
}

} // namespace dragonflyroad
