#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "limits/fair_queue.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// Runs that must fit into the time left of the requests whose turn is earlier before a request on
/// its last chance goes first. With fewer, a short burst of them would be late.
inline constexpr int min_spare_runs = 3;

/// A request that waits for a slot, and until when a start is of use to its caller.
struct waiting_request {
    queue_ticket ticket = 0;
    organisation_id organisation;
    /// Latest start with which the answer meets the latency objective.
    time_point on_time_until{};
    /// Latest start with which the answer meets the deadline.
    time_point late_until{};
    std::chrono::milliseconds expected_run{0};
};

/// The order in which requests of one rank get the slots of an upstream. Three load patterns shape
/// it:
/// - Demand exceeds the capacity for seconds, then falls below it. In arrival order every request
///   would be late during the overload and for a while after it. Here, requests that can still
///   meet their objective go first. Requests that cannot are served, oldest first, when those that
///   can have time left for several runs.
/// - The slots are nearly all in use, so the order decides who waits. A request on its last chance
///   to be on time goes before those that have time left for several runs.
/// - Kinds with different run times and objectives share a service. Because the order follows the
///   time that each request has left, a kind with a long objective yields to one with a short
///   objective until its own time runs out; neither waits behind the whole queue of the other.
/// - One organisation sends many times its usual load. Organisations share the slot time equally,
///   by start-time fair queueing: each request served raises its organisation's virtual time by its
///   expected run. Not more of its requests are expected to be on time than its share allows.
/// Not synchronised.
class waiting_requests {
public:
    explicit waiting_requests(std::size_t max_waiting) : capacity(max_waiting) {}

    /// Adds a request. When the queue is full, removes the newest request of the organisation with
    /// the most waiting requests and returns its ticket, which may be the new one.
    std::optional<queue_ticket> push(const waiting_request& request);

    /// Removes and returns the next request to serve whose last useful start has not passed.
    std::optional<queue_ticket> pop(time_point now);

    /// The expected run of a request that goes first if all others have time: one on its last
    /// chance to be on time, because the slot that is freed after one more run comes too late for
    /// it, or else one that is late already. Nothing when there is none.
    std::optional<std::chrono::milliseconds> pressing_run(time_point now) const;

    /// The earliest time at which a waiting request becomes late or of no use; the end of time when
    /// the queue is empty.
    time_point next_loss(time_point now) const;

    /// Removes a request; false when it is not waiting.
    bool remove(const organisation_id& organisation, queue_ticket ticket);

    /// Removes and returns the requests whose last useful start has passed.
    std::vector<queue_ticket> expire(time_point now);

    std::size_t size() const { return this->waiting; }

    /// Number of waiting requests that would be served before a new request of this organisation
    /// with this latest start on time.
    std::size_t ahead_on_time(const organisation_id& organisation, time_point on_time_until,
                              time_point now) const;

private:
    /// Waiting requests of one organisation, by their latest start on time.
    struct flow {
        std::vector<waiting_request> entries;
        /// Virtual time, in seconds of slot time, from which the organisation is served.
        double start = 0;
    };
    using flow_map = std::unordered_map<organisation_id, flow>;

    /// Position of the first entry that can still start on time.
    static std::size_t first_on_time(const flow& queue, time_point now);
    /// The request that is served next: its organisation and its position there.
    struct turn {
        flow_map::const_iterator flow;
        std::size_t index = 0;
    };

    /// The organisation with the lowest virtual time among those with a request that can be on
    /// time, or among those with a late one.
    flow_map::const_iterator next_flow(bool is_on_time, time_point now) const;
    turn choose_turn(time_point now) const;
    /// The organisation whose request has the least time left to be on time; the end of the map
    /// when none can be on time.
    flow_map::const_iterator most_urgent_flow(time_point now) const;
    /// Whether the organisations whose virtual time is before `start` have time for more runs.
    bool can_wait(double start, std::chrono::milliseconds run, time_point now) const;
    void remove_expired(time_point now);
    void erase(flow_map::iterator place, std::size_t index);

    std::size_t capacity;
    std::size_t waiting = 0;
    double virtual_time = 0;
    flow_map flows;
    /// Virtual start times of recently served organisations without waiting requests.
    std::unordered_map<organisation_id, double> idle_starts;
    std::set<std::pair<time_point, std::pair<queue_ticket, organisation_id>>> last_starts;
    /// Requests whose last useful start has passed and that expire() has not returned yet.
    std::vector<queue_ticket> expired;
};

} // namespace dragonflyroad
