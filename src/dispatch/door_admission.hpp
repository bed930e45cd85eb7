#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "dispatch/work_queue.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace dragonflyroad {

/// What is known when a request arrives at the node that its caller is connected to.
struct arrival {
    service_name service;
    work_rank rank;
    /// Time after which a start is of no use to the caller.
    time_point latest_start{};
};

/// Rejection of a request on arrival, with the time after which it is worth coming back.
struct door_rejection {
    std::chrono::milliseconds retry_after{0};
    /// Age of the latest decline, and how many upstreams in a row declined such work.
    std::chrono::milliseconds evidence_age{0};
    std::size_t declines = 0;
};

/// Decides on arrival whether a request can start in time to be of use. The load pattern: demand
/// exceeds the capacity for seconds, so that every upstream declines; a request that asks one
/// after the other holds its caller for seconds, costs messages at nodes that are busy, and is
/// refused in the end. The evidence is what the node knows anyway: the declines of earlier requests
/// and the waits that they name. A decline of urgent work is evidence for less urgent work, but not
/// the other way round, so urgent work is never rejected because less urgent work waits. A request
/// goes through now and then, so that the end of the overload is noticed. Calls of upstreams are
/// never rejected here: their caller holds a slot. Not synchronised.
class door_admission {
public:
    /// Records that an upstream declined work of this rank because its queue is too long, with the
    /// wait that it expects.
    void record_decline(const service_name& service, const work_rank& rank,
                        std::chrono::milliseconds wait, time_point now);
    /// Records that an upstream offered a slot to work of this rank or queued it.
    void record_accept(const service_name& service, const work_rank& rank);

    /// A rejection, or nothing when the request is admitted.
    std::optional<door_rejection> decide(const arrival& request, time_point now);

private:
    struct declined_work {
        std::size_t in_a_row = 0;
        std::chrono::milliseconds shortest_wait{0};
        time_point last_at{};
        time_point next_trial_at{};
    };

    std::map<service_name, std::map<work_rank, declined_work>> declined;
};

/// Whether a request that was declined at so many upstreams, because their queues are too long, and
/// is queued at none is refused now instead of asking the others: a sample of full upstreams stands
/// for all of them.
bool is_sample_conclusive(std::size_t declines);

/// What is known when a request is refused that did not run.
struct refused_request {
    /// Shortest wait that an upstream expects; nothing while unknown.
    std::optional<std::chrono::milliseconds> shortest_wait;
    std::chrono::milliseconds expected_run{0};
    /// Time left until the latency objective and until the caller's own deadline.
    std::chrono::milliseconds until_objective{0};
    std::chrono::milliseconds until_deadline{0};
    /// Whether the service rejects a share of all requests; see service_rejections.
    bool is_service_wide_rejection = false;
};

/// Time after which the caller of a refused request should return. The load pattern: hundreds of
/// callers are refused within a second and would all return at the same moment. Callers that can
/// still be on time return as soon as a slot is expected; the others return spread over the time
/// that is left, so that they do not take the slots from callers that can be on time. Where a
/// service rejects requests at random, waiting does not help, and everyone returns soon.
std::chrono::milliseconds choose_retry_after(const refused_request& request, random_engine& random);

} // namespace dragonflyroad
