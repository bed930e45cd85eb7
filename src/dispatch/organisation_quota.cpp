#include "dispatch/organisation_quota.hpp"

#include "core/digest.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Parts of the tolerance: a new keeper's first tokens and the nodes' own admissions. The rest
/// stays free for requests that arrive late at their upstream.
constexpr double keeper_part = 0.25;
constexpr double nodes_part = 0.5;

/// Requests that one node can admit in one window by itself: one held and one refilled.
constexpr double node_window_requests = 2;

} // namespace

double quota_tolerance::spare(const organisation_limit& limit) const
{
    const std::chrono::duration<double> span = this->window;
    return (limit.rate_per_second * span.count() + limit.burst) * this->overage_share + this->slack;
}

std::optional<std::chrono::milliseconds> quota_keeper::refuse(const organisation_id& organisation,
                                                              const organisation_limit& limit,
                                                              time_point now)
{
    if (!limit.is_limited()) {
        return std::nullopt;
    }
    const double first = std::min(this->tolerance.spare(limit) * keeper_part, limit.burst);
    token_bucket& bucket = this->buckets.try_emplace(organisation, first, now).first->second;
    bucket.refill(limit.rate_per_second, std::max(limit.burst, 1.0), now);
    if (bucket.take()) {
        return std::nullopt;
    }
    const double missing = (1 - bucket.available()) / limit.rate_per_second;
    return std::chrono::milliseconds{1 + static_cast<std::int64_t>(missing * 1000)};
}

void quota_keeper::give_back(const organisation_id& organisation, const organisation_limit& limit)
{
    const auto found = this->buckets.find(organisation);
    if (found != this->buckets.end()) {
        found->second.deposit(1, std::max(limit.burst, 1.0));
    }
}

bool spare_quota::take(const organisation_id& organisation, const organisation_limit& limit,
                       std::size_t fleet_size, time_point now)
{
    if (!limit.is_limited()) {
        return true;
    }
    const double admitting_nodes = this->tolerance.spare(limit) * nodes_part / node_window_requests;
    const double share =
        admitting_nodes / static_cast<double>(std::max<std::size_t>(fleet_size, 1));
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const double position =
        static_cast<double>(stable_hash(organisation.value + '/' + this->self.value)) / hash_range;
    if (position >= share) {
        return false;
    }
    const std::chrono::duration<double> window = this->tolerance.window;
    token_bucket& bucket = this->buckets.try_emplace(organisation, 1.0, now).first->second;
    bucket.refill(1 / window.count(), 1.0, now);
    return bucket.take();
}

} // namespace dragonflyroad
