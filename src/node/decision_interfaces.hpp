#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/reasons.hpp"
#include "retry/crash_log.hpp"
#include "retry/retry_policy.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflyroad {

// Interfaces through which the request path obtains its decisions. Implementations must be
// thread-safe: several request threads call them concurrently.

/// What this node can prove about its configuration. `current`: it was the newest one within the
/// last 3 s. `fleet_only`: the node has no such proof although it has contact with more than half
/// of the fleet, so the store answers none of these nodes. `isolated`: it has neither.
enum class configuration_freshness { current, fleet_only, isolated };

class freshness_monitor {
public:
    virtual ~freshness_monitor() = default;
    virtual configuration_freshness state(time_point now) = 0;
};

enum class rate_verdict { admitted, over_rate, unproved };

class rate_limiter {
public:
    virtual ~rate_limiter() = default;
    /// Consumes quota for one request. Blocks until `deadline` at most while quota is borrowed from
    /// a peer.
    virtual rate_verdict admit(const organisation& limits, time_point deadline) = 0;
};

class crash_tracker {
public:
    virtual ~crash_tracker() = default;
    virtual crash_verdict check_fingerprint(std::uint64_t fingerprint, time_point now) = 0;
    /// Records that the upstream's connection broke while the request ran and that the upstream
    /// then accepted no connection.
    virtual void record_crash(std::uint64_t fingerprint, const upstream_id& upstream,
                              time_point now) = 0;
    /// Records that a trial request ended without a crash.
    virtual void record_trial_success(std::uint64_t fingerprint, time_point now) = 0;
    /// Whether the request has recently crashed another upstream.
    virtual bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                            time_point now) = 0;
};

/// Identifies an unsafe request across its client's retries.
struct claim_subject {
    organisation_id organisation;
    service_name service;
    std::string key;
    /// Set by idempotency_claims::claim(): a random id of this attempt, and how long the claim is
    /// kept.
    std::uint64_t attempt = 0;
    std::chrono::milliseconds window{0};
};

enum class claim_decision { granted, in_progress, done, unknown, unavailable };

class idempotency_claims {
public:
    virtual ~idempotency_claims() = default;
    /// Claims the key. `repeat_window` is how long the claim is kept after the request has ended.
    virtual claim_decision claim(claim_subject& key, std::chrono::milliseconds repeat_window,
                                 time_point deadline) = 0;
    /// Ends a granted claim; after `ran::no` the key may be claimed again.
    virtual void complete(const claim_subject& key, ran executed) = 0;
};

/// Outcome of an attempt for the upstream's statistics.
enum class attempt_outcome {
    success,
    server_error,
    not_run,
    connect_failed,
    broken,
    timed_out,
    cancelled,
    /// A crash that is attributed to the request, not to the upstream.
    request_fault
};

/// A slot of an upstream, held from acquire() to finish().
struct upstream_slot {
    upstream_id upstream;
    /// Whether to open a new connection because pooled ones appear unresponsive.
    bool needs_fresh_connection = false;
    /// Private state of the implementation.
    std::shared_ptr<void> state;
};

struct slot_request {
    service_name service;
    organisation_id organisation;
    double weight = 1;
    std::uint64_t fingerprint = 0;
    bool is_repeatable = false;
    /// Upstreams that this request has already been tried on.
    std::span<const upstream_id> excluded;
    /// Latest time to wait for a free slot.
    time_point deadline;
};

class upstream_pool {
public:
    virtual ~upstream_pool() = default;
    /// Acquires a slot, waiting in the queue if none is free. Returns nothing on failure and sets
    /// `why` to queue_timeout, overload_shed or no_healthy_upstream.
    virtual std::optional<upstream_slot> acquire(const slot_request& request,
                                                 refusal_reason& why) = 0;
    virtual void record_first_byte(const upstream_slot& slot) = 0;
    virtual void finish(const upstream_slot& slot, attempt_outcome outcome, bool reused) = 0;
};

/// Each pair of service and organisation has its own retry budget.
struct retry_subject {
    service_name service;
    organisation_id organisation;
};

class retry_limiter {
public:
    virtual ~retry_limiter() = default;
    /// Records a first attempt, which adds to the retry budget.
    virtual void record_request(const retry_subject& subject, const profile& rules) = 0;
    /// Decides whether to retry after `attempts` attempts. Returns the reason for the retry and
    /// consumes one retry from the budget, or returns nothing.
    virtual std::optional<retry_reason>
    may_retry(const retry_subject& subject, const retry_limits& limits, std::uint32_t attempts,
              const failed_attempt& attempt, time_point now) = 0;
};

struct decision_interfaces {
    std::shared_ptr<freshness_monitor> freshness;
    std::shared_ptr<rate_limiter> rate;
    std::shared_ptr<crash_tracker> crash;
    std::shared_ptr<idempotency_claims> claims;
    std::shared_ptr<upstream_pool> upstreams;
    std::shared_ptr<retry_limiter> retries;
};

} // namespace dragonflyroad
