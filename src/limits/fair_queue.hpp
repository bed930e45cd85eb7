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

/// Identifies a waiting request to its owner.
using queue_ticket = std::uint64_t;

/// A request taken out of the queue without service.
struct shed_request {
    queue_ticket ticket = 0;
    organisation_id organisation;
    /// overload_shed or queue_timeout.
    refusal_reason reason = refusal_reason::overload_shed;
};

/// Requests that wait for a slot, served by weighted fair queueing between organisations
/// (start-time fair queueing with one virtual time unit per request and weight) and in order of
/// arrival within one. The wait is bounded by each request's deadline. When the queue is full, the
/// newest request of the organisation with the longest queue for its weight is shed, so that an
/// organisation within its share keeps its place whatever the others send. Not synchronised.
class fair_queue {
public:
    explicit fair_queue(std::size_t most_waiting) : capacity(most_waiting) {}

    /// Adds a request. Returns the request that had to go to make room, possibly this one.
    std::optional<shed_request> push(const organisation_id& organisation, double weight,
                                     queue_ticket ticket, time_point deadline);

    /// The next request to serve that still has time left.
    std::optional<queue_ticket> pop(time_point now);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<shed_request> shed(time_point now);

    /// Removes a request whose client has gone. False when it is not waiting any more.
    bool cancel(const organisation_id& organisation, queue_ticket ticket);

    /// The earliest deadline of any waiting request.
    std::optional<time_point> next_deadline() const;

    std::size_t size() const { return this->waiting; }
    std::size_t size_of(const organisation_id& organisation) const;
    /// Waiting requests that are served before the next one of this organisation, if all weights
    /// are alike: of each other organisation no more than this one has itself.
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
    void forget_if_empty(flow_map::iterator place);
    flow_map::iterator most_above_share();
    flow_map::iterator next_flow();
    void remove_deadline(const organisation_id& organisation, const entry& request);

    std::size_t capacity;
    std::size_t waiting = 0;
    double virtual_time = 0;
    flow_map flows;
    /// Virtual start times of organisations that have been served lately and have nothing waiting.
    std::unordered_map<organisation_id, double> served;
    std::set<expiry> deadlines;
    /// Timed out and not yet reported by shed().
    std::vector<shed_request> expired;
};

} // namespace dragonflyroad
