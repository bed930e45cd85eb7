#pragma once

#include "core/clock.hpp"
#include "core/reasons.hpp"
#include "retry/retry_budget.hpp"

#include <cstdint>
#include <optional>

namespace dragonflyroad {

/// How far an attempt got when it failed.
enum class attempt_failure {
    /// No connection could be opened, so no byte was sent.
    connect_failed,
    /// The upstream responded that it did not run the request (`X-Not-Run: true`).
    not_run,
    /// The connection broke or the response was incomplete.
    broken,
    /// No progress within the idle timeout.
    timed_out,
    /// A pooled connection was already closed when the request was written to it.
    stale_connection,
    /// A complete response with a server error. The request ran and the response is passed to the
    /// client.
    answered,
};

struct failed_attempt {
    attempt_failure failure = attempt_failure::broken;
    /// Whether any byte of the request may have reached the upstream.
    bool may_have_sent = true;
    /// Whether any part of a response has been sent to the client.
    bool has_answered_client = false;
};

/// The limits that apply to all attempts of one request.
struct retry_limits {
    bool is_repeatable = false;
    /// Maximum number of attempts including the first; the profile's max_attempts.
    std::uint32_t max_attempts = 3;
    time_point deadline;
};

/// Whether the request ran on the upstream of `attempt`, as far as is known.
ran to_ran(const failed_attempt& attempt);

/// Combines the value of the earlier attempts with that of a further one; the result becomes the
/// `ran` field of a refusal. If an earlier attempt may have run, a later one that did not run does
/// not change that.
ran to_ran(ran earlier, const failed_attempt& attempt);

/// Decides whether to retry at another upstream after `attempts_made` attempts, the last of which
/// failed. Returns the reason of the retry and takes one retry from `budget`, or returns nothing,
/// in which case last_failure() states why not (step `retry`). A request that is not repeatable is
/// retried only when the upstream certainly did not run it.
std::optional<retry_reason> may_retry(const retry_limits& limits, std::uint32_t attempts_made,
                                      const failed_attempt& attempt, retry_budget& budget,
                                      time_point now);

} // namespace dragonflyroad
