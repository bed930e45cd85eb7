#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace dragonflyroad {

/// Whether a node serves or refuses requests while it cannot prove that its configuration is
/// current.
enum class stale_config_action { serve, refuse };

/// The request policy of the services that refer to it.
struct profile {
    profile_name name;
    /// Maximum time from the arrival of a request to the first byte of its response.
    std::chrono::milliseconds timeout{10'000};
    /// Maximum time without progress in an exchange with an upstream.
    std::chrono::milliseconds idle_timeout{5'000};
    /// Maximum time that a request waits for an upstream with a free slot.
    std::chrono::milliseconds queue_timeout{1'000};
    std::uint64_t max_body_bytes = 16U << 20U;
    /// Minimum share of the announced capacity that ejections leave in rotation, 0 to 1.
    double floor = 0.5;
    /// Maximum attempts per request, including the first one.
    std::uint32_t max_attempts = 3;
    /// Ratio of retries and hedges to first attempts that the service's retry budgets allow over
    /// recent requests.
    double retry_budget = 0.1;
    bool hedging = false;
    /// Methods that may be repeated (retried or hedged) in addition to GET, HEAD and OPTIONS.
    std::set<std::string> repeatable_methods;
    /// Methods that may not be repeated, even GET, HEAD or OPTIONS.
    std::set<std::string> unsafe_methods;
    stale_config_action when_fleet_only = stale_config_action::serve;
    stale_config_action when_isolated = stale_config_action::refuse;
    /// How long the fleet remembers an Idempotency-Key.
    std::chrono::milliseconds repeat_window{120'000};

    bool is_repeatable(const std::string& method) const;
};

struct service {
    service_name name;
    profile_name profile;
};

/// Sends requests whose path starts with `path_prefix` to a service; the longest prefix wins.
struct route {
    route_name name;
    std::string path_prefix;
    service_name service;
    /// Organisations that may use the route; empty means all.
    std::set<organisation_id> organisations;
};

/// A tenant, with its rate limit and burst across the whole fleet.
struct organisation {
    organisation_id id;
    /// Requests per second.
    double rate = 0;
    /// Requests.
    double burst = 0;
    /// Weight of its share of a busy service, relative to other organisations.
    double weight = 1;
};

enum class key_state { granted, withdrawn };

/// A caller's API key. Only its SHA-256 digest is stored.
struct key_record {
    std::string digest;
    organisation_id organisation;
    key_state state = key_state::granted;
};

} // namespace dragonflyroad
