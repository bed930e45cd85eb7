#pragma once

#include "core/clock.hpp"
#include "core/reasons.hpp"
#include "retry/retry_budget.hpp"

#include <cstdint>
#include <optional>

namespace dragonflyroad {

/// How far an attempt got when it failed.
enum class attempt_failure {
    /// No connection: no byte was sent.
    connect_failed,
    /// The upstream answered that it did not run the request (`X-Not-Run: true`).
    not_run,
    /// The connection broke or the response was incomplete.
    broken,
    /// No progress within the idle deadline.
    timed_out,
    /// A pooled connection turned out to be closed when the request was written to it.
    stale_connection,
    /// A complete response with a server error: it ran, and is passed to the client.
    answered,
};

/// One failed attempt of a request.
struct failed_attempt {
    attempt_failure failure = attempt_failure::broken;
    /// Whether a byte of the request may have reached the upstream.
    bool may_have_sent = true;
    /// Whether the client has been sent any part of a response.
    bool has_answered_client = false;
};

/// What stays the same over all attempts of one request.
struct retry_limits {
    bool is_repeatable = false;
    /// Attempts permitted, the first one included; the profile's max_attempts.
    std::uint32_t max_attempts = 3;
    time_point deadline;
};

/// What is known of the run of a request on the upstream of `attempt`.
ran to_ran(const failed_attempt& attempt);

/// What is known after a further attempt; decides the `ran` of a refusal. An earlier attempt that
/// may have run is not undone by a later one that did not.
ran to_ran(ran earlier, const failed_attempt& attempt);

/// Whether to try another upstream after `attempts_made` attempts, the last of which failed, and by
/// which reason. A request that is not repeatable is sent again only when it is certain that the
/// upstream did not run it. Takes a retry from `budget` when it returns a reason; otherwise
/// last_failure() names the limit that was reached (step `retry`).
std::optional<retry_reason> may_retry(const retry_limits& limits, std::uint32_t attempts_made,
                                      const failed_attempt& attempt, retry_budget& budget,
                                      time_point now);

} // namespace dragonflyroad
