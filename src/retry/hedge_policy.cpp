#include "retry/hedge_policy.hpp"

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr int least_tail_ratio = 3;
constexpr double largest_utilisation = 0.7;
constexpr std::uint32_t results_judged = 20;
// A copy sent at the 95th percentile of a service with independent latencies wins about nine times
// of ten; below a fifth, what makes the request slow makes its copy slow too.
constexpr std::uint32_t wins_needed = 4;
constexpr duration pause = 30s;

} // namespace

std::optional<duration> hedge_policy::delay(bool is_repeatable, bool is_enabled,
                                            const hedge_conditions& conditions) const
{
    if (!is_repeatable || !is_enabled || conditions.is_service_slow ||
        conditions.p50 <= duration::zero() || conditions.utilisation > largest_utilisation ||
        conditions.p99 < least_tail_ratio * conditions.p50) {
        return std::nullopt;
    }
    return conditions.p95;
}

bool hedge_policy::hedge(retry_budget& budget, time_point now)
{
    {
        const std::lock_guard guard(this->lock);
        if (now < this->paused_until) {
            return false;
        }
    }
    return budget.take();
}

void hedge_policy::note_result(bool has_copy_won, time_point now)
{
    const std::lock_guard guard(this->lock);
    ++this->results;
    this->wins += has_copy_won ? 1 : 0;
    if (this->results < results_judged) {
        return;
    }
    if (this->wins < wins_needed) {
        this->paused_until = now + pause;
    }
    this->results = 0;
    this->wins = 0;
}

} // namespace dragonflyroad
