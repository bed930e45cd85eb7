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

/// Fleet-wide rate and burst of an organisation; a rate of 0 means no limit.
struct organisation_limit {
    double rate_per_second = 0;
    double burst = 0;

    bool is_limited() const { return this->rate_per_second > 0; }
};

/// How far admissions may exceed the limit within a window, as set by the operators.
struct quota_tolerance {
    std::chrono::milliseconds window{5'000};
    double overage_share = 0.1;
    double slack = 20;

    /// Number of requests above the limit that are tolerated within one window.
    double allowed_overage(const organisation_limit& limit) const;
};

/// Rate limiter for the organisations whose quota lease this node holds; only the lease holder
/// admits an organisation's requests from the full rate. A new holder does not know what the
/// previous one admitted, so its bucket starts with a quarter of the allowed overage, at most the
/// burst, instead of a full burst. Not synchronised.
class lease_holder_rate_limiter {
public:
    explicit lease_holder_rate_limiter(quota_tolerance allowed) : tolerance(allowed) {}

    void set_tolerance(const quota_tolerance& allowed) { this->tolerance = allowed; }

    /// Takes the token of one request. Returns nothing when admitted; when refused, the time until
    /// the next token is available.
    std::optional<std::chrono::milliseconds>
    retry_after_unless_admitted(const organisation_id& organisation,
                                const organisation_limit& limit, time_point now);

    /// Returns the token of an admitted request that was not run.
    void refund_token(const organisation_id& organisation, const organisation_limit& limit);

    /// Removes the buckets of organisations whose quota lease this node no longer holds.
    template<typename Predicate>
    void drop_if(Predicate is_lost)
    {
        std::erase_if(this->buckets, [&](const auto& item) { return is_lost(item.first); });
    }

private:
    quota_tolerance tolerance;
    std::map<organisation_id, token_bucket> buckets;
};

/// Rate limiter for requests that a node admits on its own while the holder of the organisation's
/// quota lease is unknown or does not respond. Half of the allowed overage is divided between the
/// nodes: each starts with one token and gains one per window. Where it does not suffice for every
/// node, only the nodes that a hash selects admit requests. Not synchronised.
class fallback_rate_limiter {
public:
    fallback_rate_limiter(node_id node, quota_tolerance allowed)
        : self(std::move(node)), tolerance(allowed)
    {
    }

    void set_tolerance(const quota_tolerance& allowed) { this->tolerance = allowed; }

    /// Takes one request's token; false when this node may not admit it.
    bool try_admit(const organisation_id& organisation, const organisation_limit& limit,
                   std::size_t fleet_size, time_point now);

private:
    node_id self;
    quota_tolerance tolerance;
    std::map<organisation_id, token_bucket> buckets;
};

} // namespace dragonflyroad
