#pragma once

#include "node/decision_interfaces.hpp"
#include "retry/crash_log.hpp"
#include "retry/retry_budget.hpp"

#include <mutex>
#include <vector>

namespace dragonflyroad {

/// Limits retries by one budget per service and organisation.
class budgeted_retries : public retry_limiter {
public:
    void record_request(const retry_subject& subject, const profile& rules) override;
    std::optional<retry_reason> may_retry(const retry_subject& subject, const retry_limits& limits,
                                          std::uint32_t attempts, const failed_attempt& attempt,
                                          time_point now) override;

private:
    retry_budget_table budgets;
};

/// Thread-safe crash log. Collects new crashes for the membership controller to spread.
class shared_crash_log : public crash_tracker {
public:
    crash_verdict check_fingerprint(std::uint64_t fingerprint, time_point now) override;
    void record_crash(std::uint64_t fingerprint, const upstream_id& upstream,
                      time_point now) override;
    void record_trial_success(std::uint64_t fingerprint, time_point now) override;
    bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                    time_point now) override;

    void merge(const std::vector<crash_record>& records, time_point now);
    /// Returns and clears the crashes recorded by this node since the last call.
    std::vector<crash_record> drain_new_crashes();

private:
    std::mutex mutex;
    crash_log log;
    std::vector<crash_record> new_crashes;
};

} // namespace dragonflyroad
