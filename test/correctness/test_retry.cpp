#include "retry/crash_log.hpp"
#include "retry/hedge_policy.hpp"
#include "retry/retry_budget.hpp"
#include "retry/retry_policy.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start{1000s};
const upstream_id first{"10.0.0.1:8080"};
const upstream_id second{"10.0.0.2:8080"};
const retry_limits unsafe{false, 3, start + 10s};
const retry_limits repeatable{true, 3, start + 10s};

} // namespace

// Guards against a second run of a request that is not repeatable (invariant I8).
TEST_CASE("a request that is not repeatable is retried only when it did not run")
{
    retry_budget budget;
    CHECK(may_retry(unsafe, 1, {attempt_failure::connect_failed, false, false}, budget, start) ==
          retry_reason::connect_failed);
    CHECK(may_retry(unsafe, 1, {attempt_failure::not_run, true, false}, budget, start) ==
          retry_reason::not_run_by_upstream);
    for (const auto failure : {attempt_failure::broken, attempt_failure::timed_out,
                               attempt_failure::stale_connection, attempt_failure::answered}) {
        CHECK_FALSE(may_retry(unsafe, 1, {failure, true, false}, budget, start));
    }
}

// Guards against a retry beyond the maximum number of attempts, after the deadline, or after part
// of a response was received.
TEST_CASE("a repeatable request is retried within its limits")
{
    retry_budget budget;
    const failed_attempt broken{attempt_failure::broken, true, false};
    CHECK(may_retry(repeatable, 2, broken, budget, start) == retry_reason::upstream_died);
    CHECK_FALSE(may_retry(repeatable, 3, broken, budget, start));
    CHECK_FALSE(may_retry(repeatable, 1, broken, budget, start + 10s));
    CHECK_FALSE(may_retry(repeatable, 1, {attempt_failure::broken, true, true}, budget, start));
}

// Guards against a refusal that reports "not run" although only the last of several attempts is
// known not to have run (invariant I7).
TEST_CASE("a refusal reports that the request may have run if an earlier attempt may have")
{
    const failed_attempt refused{attempt_failure::connect_failed, false, false};
    const failed_attempt broken{attempt_failure::broken, true, false};
    CHECK(to_ran(ran::no, refused) == ran::no);
    CHECK(to_ran(to_ran(ran::no, broken), refused) == ran::unknown);
    CHECK(to_ran(ran::yes, refused) == ran::yes);
}

// Guards against retries that multiply the load of a service that is down.
TEST_CASE("retries stay within the budget")
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.record_first_attempt(0.1);
        retries += budget.try_consume_retry() ? 1 : 0;
    }
    CHECK(retries <= 103);
    CHECK(retries >= 100);
}

// Guards against memory that grows with every organisation or service name ever seen.
TEST_CASE("the table of budgets is bounded and separates services and organisations")
{
    retry_budget_table table;
    const auto held = table.find(service_name{"a"}, organisation_id{"x"});
    CHECK(held == table.find(service_name{"a"}, organisation_id{"x"}));
    CHECK(held != table.find(service_name{"b"}, organisation_id{"x"}));
    for (int number = 0; number < 200'000; ++number) {
        table.find(service_name{"a"}, organisation_id{std::to_string(number)});
    }
    CHECK(table.size() <= 70'000);
}

// Guards against hedging unsafe requests, and hedging where it does not help: on services without a
// latency tail, or where hedges are never the first to respond.
TEST_CASE("hedging needs a repeatable request, a latency tail, and successful hedges")
{
    hedge_policy policy;
    const hedge_conditions tail{20ms, 60ms, 200ms, 0.5, false};
    CHECK(policy.delay(true, true, tail) == duration{60ms});
    CHECK_FALSE(policy.delay(false, true, tail));
    CHECK_FALSE(policy.delay(true, false, tail));
    CHECK_FALSE(policy.delay(true, true, {20ms, 40ms, 50ms, 0.5, false}));
    CHECK_FALSE(policy.delay(true, true, {20ms, 60ms, 200ms, 0.9, false}));
    CHECK_FALSE(policy.delay(true, true, {20ms, 60ms, 200ms, 0.5, true}));
    retry_budget budget;
    CHECK(policy.try_start_hedge(budget, start));
    for (int result = 0; result < 20; ++result) {
        policy.record_hedge_result(false, start);
    }
    CHECK_FALSE(policy.try_start_hedge(budget, start + 1s));
    CHECK(policy.try_start_hedge(budget, start + 31s));
}

// Guards against a request that crashes every upstream it is sent to (failure F9).
TEST_CASE("a fingerprint is blocked after crashes on two upstreams, then gets one trial")
{
    crash_log log;
    log.record_crash(7, first, start);
    log.record_crash(7, first, start + 5s);
    CHECK(log.check_fingerprint(7, start + 5s) == crash_verdict::allowed);
    CHECK(log.is_suspect(7, second, start + 5s));
    CHECK_FALSE(log.is_suspect(7, first, start + 5s));
    log.record_crash(7, second, start + 6s);
    CHECK(log.check_fingerprint(7, start + 65s) == crash_verdict::blocked);
    CHECK(log.check_fingerprint(8, start + 65s) == crash_verdict::allowed);
    CHECK(log.check_fingerprint(7, start + 66s) == crash_verdict::trial);
    CHECK(log.check_fingerprint(7, start + 67s) == crash_verdict::blocked);
    log.record_crash(7, first, start + 67s);
    CHECK(log.check_fingerprint(7, start + 126s) == crash_verdict::blocked);
    CHECK(log.check_fingerprint(7, start + 127s) == crash_verdict::trial);
}

// Guards against blocking a harmless request again after its trial succeeded: peers still gossip
// the old crash records, whose times are shifted by the time in transit.
TEST_CASE("a successful trial unblocks a fingerprint permanently")
{
    crash_log log;
    log.record_crash(7, first, start);
    log.record_crash(7, second, start);
    const auto records = log.recent(8, start);
    REQUIRE(records.size() == 2);
    for (int step = 1; step < 60; ++step) {
        auto shifted = records;
        for (crash_record& record : shifted) {
            record.at += 2ms * step;
        }
        log.merge(shifted, start + 1s * step);
    }
    CHECK(log.check_fingerprint(7, start + 60500ms) == crash_verdict::trial);
    log.record_trial_success(7, start + 61s);
    log.merge(records, start + 59s);
    CHECK(log.check_fingerprint(7, start + 62s) == crash_verdict::allowed);
}

// Guards against a log that grows with every new fingerprint that clients send.
TEST_CASE("the crash log is bounded")
{
    crash_log log;
    for (std::uint64_t number = 0; number < 2 * crash_log::max_entry_count; ++number) {
        log.record_crash(number, first, start + std::chrono::milliseconds{number});
    }
    CHECK(log.size() == crash_log::max_entry_count);
}
