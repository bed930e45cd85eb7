#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "limits/token_bucket.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace dragonflyroad {

/// Rate and burst of an organisation over the whole fleet; a rate of 0 means no limit.
struct organisation_limit {
    double rate_per_second = 0;
    double burst = 0;

    bool is_limited() const { return this->rate_per_second > 0; }
};

/// What may be admitted above the limit within a window, by the operators' tolerance.
struct quota_tolerance {
    std::chrono::milliseconds window{5'000};
    double overage_share = 0.1;
    double slack = 20;

    /// Requests above the limit within one window that break no promise.
    double spare(const organisation_limit& limit) const;
};

/// The one place that admits an organisation's requests, at the node that holds the organisation's
/// quota lease. A keeper that takes over does not know what its predecessor admitted, so it starts
/// with a quarter of the tolerance instead of a full burst. Not synchronised.
class quota_keeper {
public:
    explicit quota_keeper(quota_tolerance allowed) : tolerance(allowed) {}

    /// Takes one request's right. When refused, how long until the next one is due.
    std::optional<std::chrono::milliseconds>
    refuse(const organisation_id& organisation, const organisation_limit& limit, time_point now);

    /// Gives back the right of a request that was refused before it ran.
    void give_back(const organisation_id& organisation, const organisation_limit& limit);

    /// Forgets the organisations whose quota this node no longer holds.
    template<typename Predicate>
    void drop_if(Predicate is_lost)
    {
        std::erase_if(this->buckets, [&](const auto& item) { return is_lost(item.first); });
    }

private:
    quota_tolerance tolerance;
    std::map<organisation_id, token_bucket> buckets;
};

/// What a node may admit by itself while an organisation's keeper is unknown or does not answer.
/// Half of the tolerance is divided between the nodes: each admits at most one request a window and
/// one at once, and where the tolerance is smaller than the fleet only the nodes that a hash
/// selects do. Not synchronised.
class spare_quota {
public:
    spare_quota(node_id node, quota_tolerance allowed) : self(std::move(node)), tolerance(allowed)
    {
    }

    bool take(const organisation_id& organisation, const organisation_limit& limit,
              std::size_t fleet_size, time_point now);

private:
    node_id self;
    quota_tolerance tolerance;
    std::map<organisation_id, token_bucket> buckets;
};

} // namespace dragonflyroad
