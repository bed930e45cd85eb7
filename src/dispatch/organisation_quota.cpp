#include "dispatch/organisation_quota.hpp"

#include "core/digest.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Shares of the allowed overage: one for the first tokens of a new lease holder, one for the
/// requests that nodes admit on their own. The rest is left for requests that arrive late at their
/// upstream.
constexpr double new_holder_share = 0.25;
constexpr double fallback_share = 0.5;

/// Requests that one node can admit on its own in one window: one token in the bucket and one
/// refilled.
constexpr double fallback_requests_per_window = 2;

} // namespace

double quota_tolerance::allowed_overage(const organisation_limit& limit) const
{
    const std::chrono::duration<double> span = this->window;
    return (limit.rate_per_second * span.count() + limit.burst) * this->overage_share + this->slack;
}

std::optional<std::chrono::milliseconds> lease_holder_rate_limiter::retry_after_unless_admitted(
    const organisation_id& organisation, const organisation_limit& limit, time_point now)
{
    if (!limit.is_limited()) {
        return std::nullopt;
    }
    const double initial_tokens =
        std::min(this->tolerance.allowed_overage(limit) * new_holder_share, limit.burst);
    token_bucket& bucket =
        this->buckets.try_emplace(organisation, initial_tokens, now).first->second;
    bucket.refill(limit.rate_per_second, std::max(limit.burst, 1.0), now);
    if (bucket.try_consume_token()) {
        return std::nullopt;
    }
    const double seconds_to_token = (1 - bucket.available()) / limit.rate_per_second;
    return std::chrono::milliseconds{1 + static_cast<std::int64_t>(seconds_to_token * 1000)};
}

void lease_holder_rate_limiter::refund_token(const organisation_id& organisation,
                                             const organisation_limit& limit)
{
    const auto found = this->buckets.find(organisation);
    if (found != this->buckets.end()) {
        found->second.deposit(1, std::max(limit.burst, 1.0));
    }
}

bool fallback_rate_limiter::try_admit(const organisation_id& organisation,
                                      const organisation_limit& limit, std::size_t fleet_size,
                                      time_point now)
{
    if (!limit.is_limited()) {
        return true;
    }
    const double admitting_nodes =
        this->tolerance.allowed_overage(limit) * fallback_share / fallback_requests_per_window;
    const double admitting_share =
        admitting_nodes / static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const double hash_position =
        static_cast<double>(stable_hash(organisation.value + '/' + this->self.value)) / hash_range;
    if (hash_position >= admitting_share) {
        return false;
    }
    const std::chrono::duration<double> window = this->tolerance.window;
    token_bucket& bucket = this->buckets.try_emplace(organisation, 1.0, now).first->second;
    bucket.refill(1 / window.count(), 1.0, now);
    return bucket.try_consume_token();
}

} // namespace dragonflyroad
