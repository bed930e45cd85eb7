#pragma once

#include "node/gates.hpp"
#include "retry/crash_log.hpp"
#include "retry/retry_budget.hpp"

#include <mutex>
#include <vector>

namespace dragonflyroad {

/// Retries within the budgets of service and organisation.
class budgeted_retries : public retry_gate {
public:
    void note_request(const retry_subject& subject, const profile& rules) override;
    std::optional<retry_reason> may_retry(const retry_subject& subject, const retry_limits& limits,
                                          std::uint32_t attempts, const failed_attempt& attempt,
                                          time_point now) override;

private:
    retry_budget_table budgets;
};

/// The crash log behind a lock. New crashes are kept for the membership controller to spread.
class shared_crash_log : public crash_gate {
public:
    crash_verdict ask(std::uint64_t fingerprint, time_point now) override;
    void note(std::uint64_t fingerprint, const upstream_id& upstream, time_point now) override;
    void note_survived(std::uint64_t fingerprint, time_point now) override;
    bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                    time_point now) override;

    void merge(const std::vector<crash_record>& records, time_point now);
    /// The crashes noted here since the last call.
    std::vector<crash_record> take_new();

private:
    std::mutex mutex;
    crash_log log;
    std::vector<crash_record> fresh;
};

} // namespace dragonflyroad
