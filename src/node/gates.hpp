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

/// The decisions that the request path asks for. Each interface is implemented over the decision
/// modules; all functions are called by several threads at a time.

/// Proof that this node's configuration is current.
enum class proof_state { current, fleet_only, isolated };

class freshness_gate {
public:
    virtual ~freshness_gate() = default;
    virtual proof_state state(time_point now) = 0;
};

enum class rate_verdict { admitted, over_rate, unproved };

class rate_gate {
public:
    virtual ~rate_gate() = default;
    /// May wait until `deadline` for quota from a peer.
    virtual rate_verdict admit(const organisation& limits, time_point deadline) = 0;
};

class crash_gate {
public:
    virtual ~crash_gate() = default;
    virtual crash_verdict ask(std::uint64_t fingerprint, time_point now) = 0;
    /// The upstream's connection broke while the request ran, and it then refused connections.
    virtual void note(std::uint64_t fingerprint, const upstream_id& upstream, time_point now) = 0;
    /// A trial ended without a crash.
    virtual void note_survived(std::uint64_t fingerprint, time_point now) = 0;
    /// Whether the request has crashed another upstream lately.
    virtual bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                            time_point now) = 0;
};

/// Identifies an unsafe request across its client's retries.
struct claim_subject {
    organisation_id organisation;
    service_name service;
    std::string key;
    /// Set by claim_gate::claim(): the random number of this attempt and how long the claim is
    /// remembered.
    std::uint64_t attempt = 0;
    std::chrono::milliseconds window{0};
};

enum class claim_decision { granted, in_progress, done, unknown, unavailable };

class claim_gate {
public:
    virtual ~claim_gate() = default;
    /// `repeat_window` is how long the claim is remembered after its end.
    virtual claim_decision claim(claim_subject& key, std::chrono::milliseconds repeat_window,
                                 time_point deadline) = 0;
    /// Ends a granted claim; after `ran::no` the key may be claimed again.
    virtual void complete(const claim_subject& key, ran executed) = 0;
};

/// How an attempt ended, for the statistics of the upstream.
enum class attempt_outcome {
    success,
    server_error,
    not_run,
    connect_failed,
    broken,
    timed_out,
    cancelled,
    /// A failure that the crash log attributes to the request.
    request_fault
};

/// A place on an upstream, from acquire() to finish().
struct upstream_place {
    upstream_id upstream;
    /// Whether a new connection is to be used, because kept ones look unresponsive.
    bool needs_fresh_connection = false;
    /// State of the implementation.
    std::shared_ptr<void> state;
};

struct place_request {
    service_name service;
    organisation_id organisation;
    double weight = 1;
    std::uint64_t fingerprint = 0;
    bool is_repeatable = false;
    /// Upstreams on which this request was tried before.
    std::span<const upstream_id> excluded;
    /// Latest time to wait for a free place.
    time_point deadline;
};

class upstream_gate {
public:
    virtual ~upstream_gate() = default;
    /// Waits its turn and takes a place. `why` is set when it returns nothing: queue_full,
    /// queue_timeout, overload_shed or no_healthy_upstream.
    virtual std::optional<upstream_place> acquire(const place_request& request,
                                                  refusal_reason& why) = 0;
    virtual void first_byte(const upstream_place& place) = 0;
    virtual void finish(const upstream_place& place, attempt_outcome outcome, bool reused) = 0;
};

/// Whose budget a retry is taken from.
struct retry_subject {
    service_name service;
    organisation_id organisation;
};

class retry_gate {
public:
    virtual ~retry_gate() = default;
    /// Counts a first attempt.
    virtual void note_request(const retry_subject& subject, const profile& rules) = 0;
    /// Whether to try again after `attempts` attempts, and by which reason; takes one retry out of
    /// the budget.
    virtual std::optional<retry_reason>
    may_retry(const retry_subject& subject, const retry_limits& limits, std::uint32_t attempts,
              const failed_attempt& attempt, time_point now) = 0;
};

struct gates {
    std::shared_ptr<freshness_gate> freshness;
    std::shared_ptr<rate_gate> rate;
    std::shared_ptr<crash_gate> crash;
    std::shared_ptr<claim_gate> claims;
    std::shared_ptr<upstream_gate> upstreams;
    std::shared_ptr<retry_gate> retries;
};

} // namespace dragonflyroad
