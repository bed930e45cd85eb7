#include "retry/retry_policy.hpp"

#include "core/failure.hpp"

namespace dragonflyroad {
namespace {

retry_reason to_reason(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::connect_failed:
        return retry_reason::connect_failed;
    case attempt_failure::not_run:
        return retry_reason::not_run_by_upstream;
    case attempt_failure::timed_out:
        return retry_reason::timed_out;
    case attempt_failure::stale_connection:
        return retry_reason::stale_connection;
    case attempt_failure::broken:
    case attempt_failure::answered:
        break;
    }
    return retry_reason::upstream_died;
}

} // namespace

ran to_ran(const failed_attempt& attempt)
{
    if (attempt.failure == attempt_failure::answered) {
        return ran::yes;
    }
    const bool is_certain = attempt.failure == attempt_failure::connect_failed ||
                            attempt.failure == attempt_failure::not_run || !attempt.may_have_sent;
    return is_certain ? ran::no : ran::unknown;
}

ran to_ran(ran earlier, const failed_attempt& attempt)
{
    const ran latest = to_ran(attempt);
    if (earlier == ran::yes || latest == ran::yes) {
        return ran::yes;
    }
    return earlier == ran::unknown ? ran::unknown : latest;
}

std::optional<retry_reason> may_retry(const retry_limits& limits, std::uint32_t attempts_made,
                                      const failed_attempt& attempt, retry_budget& budget,
                                      time_point now)
{
    if (attempt.has_answered_client || attempt.failure == attempt_failure::answered) {
        return fail("retry", "", "a response has been received");
    }
    if (!limits.is_repeatable && to_ran(attempt) != ran::no) {
        return fail("retry", "", "the request may have run and is not repeatable");
    }
    if (attempts_made >= limits.max_attempts) {
        return fail("retry", "", "all attempts that the profile permits were made");
    }
    if (now >= limits.deadline) {
        return fail("retry", "", "the deadline has passed");
    }
    if (!budget.try_consume_retry()) {
        return fail("retry", "", "the retry budget is used up");
    }
    return to_reason(attempt.failure);
}

} // namespace dragonflyroad
