#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "retry/crash_log.hpp"
#include "retry/retry_policy.hpp"
#include "routing/ejection_controller.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad::bench {

/// A client request in the model.
struct model_request {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisation = 0;
    bool is_repeatable = true;
    bool crashes = false;
    std::uint32_t node = 0;
    std::uint32_t attempts = 0;
    std::uint32_t runs = 0;
    bool is_trial = false;
    ran has_run = ran::no;
    time_point arrived;
    std::vector<upstream_id> tried;
};

/// The upstream chosen for an attempt, and the kind of connection to use.
struct routing_choice {
    std::size_t upstream = 0;
    bool use_fresh_connection = false;
};

/// The message that peers exchange every 500 ms.
struct gossip_message {
    std::vector<ejection_evidence> evidence;
    std::vector<crash_record> crashes;
};

/// Interface to the routing and retry decisions of one node; implemented by this project and by a
/// baseline.
class router {
public:
    router() = default;
    virtual ~router() = default;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    virtual void announce(std::size_t upstream, const upstream_announcement& announcement,
                          time_point now) = 0;
    /// Chooses an upstream and counts the attempt as in flight there. Returns nothing when no
    /// upstream is available.
    virtual std::optional<routing_choice> start_attempt(std::uint32_t attempt,
                                                        const model_request& request,
                                                        bool pool_is_empty, time_point now) = 0;
    virtual void finish_attempt(std::uint32_t attempt, const model_request& request,
                                std::size_t upstream, outcome_kind outcome, time_point now) = 0;
    virtual bool should_retry(const model_request& request, const failed_attempt& attempt,
                              time_point now) = 0;
    /// Whether the request may run, judged by earlier crashes; if blocked, it is refused as
    /// `crash_suspect`.
    virtual crash_verdict check_crash_suspect(const model_request& request, time_point now) = 0;
    virtual void tick(time_point now) = 0;
    virtual ejection_step step(std::size_t upstream) const = 0;
    virtual fault_scope scope(std::size_t upstream) const = 0;
    virtual gossip_message make_gossip(time_point now) const = 0;
    virtual void receive_gossip(const gossip_message& received, time_point now) = 0;
};

/// Names of the model's service and of its upstreams.
const service_name& model_service();
upstream_id model_upstream_id(std::size_t upstream);

/// This project: the decisions of src/routing and src/retry.
std::unique_ptr<router> make_project_router(std::size_t node, std::size_t node_count, double floor,
                                            std::uint64_t seed);

/// The baseline: round robin; an upstream is ejected for 30 s after five consecutive failures;
/// every request that failed without a response is retried up to twice within 10 s of its arrival.
std::unique_ptr<router> make_baseline_router(std::size_t node);

} // namespace dragonflyroad::bench
