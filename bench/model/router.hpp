#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "retry/crash_log.hpp"
#include "retry/retry_policy.hpp"
#include "routing/ejection.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad::bench {

/// A client's request in the model.
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

/// Where an attempt goes.
struct routed {
    std::size_t upstream = 0;
    bool use_fresh_connection = false;
};

/// What peers send each other every 500 ms.
struct gossip {
    std::vector<ejection_evidence> evidence;
    std::vector<crash_record> crashes;
};

/// The routing and retry decisions of one node: ours or the baseline.
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
    /// Chooses an upstream and counts the attempt as in flight there.
    virtual std::optional<routed> begin(std::uint32_t attempt, const model_request& request,
                                        bool pool_is_empty, time_point now) = 0;
    virtual void finish(std::uint32_t attempt, const model_request& request, std::size_t upstream,
                        outcome_kind outcome, time_point now) = 0;
    virtual bool retries(const model_request& request, const failed_attempt& attempt,
                         time_point now) = 0;
    /// Whether the request may run; a refusal is `crash_suspect`.
    virtual crash_verdict ask_crash(const model_request& request, time_point now) = 0;
    virtual void tick(time_point now) = 0;
    virtual ejection_step step(std::size_t upstream) const = 0;
    virtual fault_scope scope(std::size_t upstream) const = 0;
    virtual gossip tell(time_point now) const = 0;
    virtual void hear(const gossip& news, time_point now) = 0;
};

/// The names of the model's service and of its upstreams.
const service_name& model_service();
upstream_id model_upstream_id(std::size_t upstream);

/// The decisions of src/routing and src/retry.
std::unique_ptr<router> make_own_router(std::size_t node, std::size_t node_count, double floor,
                                        std::uint64_t seed);

/// The baseline: round robin; an upstream is ejected for 30 s after five consecutive failures;
/// up to two retries of every request that failed without an answer.
std::unique_ptr<router> make_baseline_router(std::size_t node);

} // namespace dragonflyroad::bench
