#include "retry/hedge_policy.hpp"

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr int min_tail_ratio = 3;
constexpr double max_utilisation = 0.7;
constexpr std::uint32_t results_per_evaluation = 20;
// If the latencies of a service are independent, a copy sent at the 95th percentile wins about nine
// times out of ten. If fewer than a fifth win, the cause that slows the request also slows its
// copy.
constexpr std::uint32_t min_wins = 4;
constexpr duration hedging_pause = 30s;

} // namespace

std::optional<duration> hedge_policy::delay(bool is_repeatable, bool is_enabled,
                                            const hedge_conditions& conditions) const
{
    if (!is_repeatable || !is_enabled || conditions.is_service_slow ||
        conditions.p50 <= duration::zero() || conditions.utilisation > max_utilisation ||
        conditions.p99 < min_tail_ratio * conditions.p50) {
        return std::nullopt;
    }
    return conditions.p95;
}

bool hedge_policy::try_start_hedge(retry_budget& budget, time_point now)
{
    {
        const std::lock_guard guard(this->lock);
        if (now < this->paused_until) {
            return false;
        }
    }
    return budget.try_consume_retry();
}

void hedge_policy::record_hedge_result(bool has_copy_won, time_point now)
{
    const std::lock_guard guard(this->lock);
    ++this->results;
    this->wins += has_copy_won ? 1 : 0;
    if (this->results < results_per_evaluation) {
        return;
    }
    if (this->wins < min_wins) {
        this->paused_until = now + hedging_pause;
    }
    this->results = 0;
    this->wins = 0;
}

} // namespace dragonflyroad
