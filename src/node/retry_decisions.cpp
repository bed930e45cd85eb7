#include "node/retry_decisions.hpp"

#include <utility>

namespace dragonflyroad {

void budgeted_retries::record_request(const retry_subject& subject, const profile& rules)
{
    this->budgets.find(subject.service, subject.organisation)
        ->record_first_attempt(rules.retry_budget);
}

std::optional<retry_reason>
budgeted_retries::may_retry(const retry_subject& subject, const retry_limits& limits,
                            std::uint32_t attempts, const failed_attempt& attempt, time_point now)
{
    const auto budget = this->budgets.find(subject.service, subject.organisation);
    return dragonflyroad::may_retry(limits, attempts, attempt, *budget, now);
}

crash_verdict shared_crash_log::check_fingerprint(std::uint64_t fingerprint, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    return this->log.check_fingerprint(fingerprint, now);
}

void shared_crash_log::record_crash(std::uint64_t fingerprint, const upstream_id& upstream,
                                    time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->log.record_crash(fingerprint, upstream, now);
    this->new_crashes.push_back({fingerprint, upstream, now});
}

void shared_crash_log::record_trial_success(std::uint64_t fingerprint, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->log.record_trial_success(fingerprint, now);
}

bool shared_crash_log::is_suspect(std::uint64_t fingerprint, const upstream_id& upstream,
                                  time_point now)
{
    const std::scoped_lock lock{this->mutex};
    return this->log.is_suspect(fingerprint, upstream, now);
}

void shared_crash_log::merge(const std::vector<crash_record>& records, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->log.merge(records, now);
}

std::vector<crash_record> shared_crash_log::drain_new_crashes()
{
    const std::scoped_lock lock{this->mutex};
    return std::exchange(this->new_crashes, {});
}

} // namespace dragonflyroad
