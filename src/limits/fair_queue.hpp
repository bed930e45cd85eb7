#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/reasons.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// Identifier of a waiting request, chosen by the caller.
using queue_ticket = std::uint64_t;

/// A request removed from the queue without being served.
struct shed_request {
    queue_ticket ticket = 0;
    organisation_id organisation;
    /// overload_shed or queue_timeout.
    refusal_reason reason = refusal_reason::overload_shed;
};

/// Queue of requests that wait for a slot. Organisations are served by start-time fair queueing:
/// the one with the lowest virtual start time is next, and each request served raises that time by
/// 1 / weight. The requests of one organisation are served in order of arrival. Each request waits
/// at most until its deadline. When the queue is full, the newest request of the organisation with
/// the most waiting requests per weight is shed, so that an organisation within its share keeps its
/// place whatever load the others send. Not synchronised.
class fair_queue {
public:
    explicit fair_queue(std::size_t max_waiting) : capacity(max_waiting) {}

    /// Adds a request. Returns the request that was shed to make room, possibly this one.
    std::optional<shed_request> push(const organisation_id& organisation, double weight,
                                     queue_ticket ticket, time_point deadline);

    /// Removes and returns the next request to serve whose deadline has not passed.
    std::optional<queue_ticket> pop(time_point now);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<shed_request> remove_expired(time_point now);

    /// Removes a request whose client has disconnected. Returns false if it is not waiting.
    bool cancel(const organisation_id& organisation, queue_ticket ticket);

    /// The earliest deadline of any waiting request.
    std::optional<time_point> next_deadline() const;

    std::size_t size() const { return this->waiting; }
    std::size_t size_of(const organisation_id& organisation) const;
    /// Number of waiting requests that would be served before a new one of this organisation if all
    /// weights were equal: all of its own, and of each other organisation up to one more than that.
    std::size_t ahead_of(const organisation_id& organisation) const;

private:
    struct entry {
        queue_ticket ticket = 0;
        time_point deadline{};
    };
    struct flow {
        double weight = 1;
        /// Virtual start time of the flow's first waiting request.
        double start = 0;
        std::deque<entry> entries;
    };
    using flow_map = std::unordered_map<organisation_id, flow>;
    using expiry = std::pair<time_point, std::pair<queue_ticket, organisation_id>>;

    void expire(time_point now);
    void remove_if_empty(flow_map::iterator place);
    flow_map::iterator flow_most_above_share();
    flow_map::iterator next_flow();
    void remove_deadline(const organisation_id& organisation, const entry& request);

    std::size_t capacity;
    std::size_t waiting = 0;
    double virtual_time = 0;
    flow_map flows;
    /// Virtual start times of recently served organisations without waiting requests.
    std::unordered_map<organisation_id, double> idle_starts;
    std::set<expiry> deadlines;
    /// Timed-out requests that remove_expired() has not returned yet.
    std::vector<shed_request> expired;
};

} // namespace dragonflyroad
