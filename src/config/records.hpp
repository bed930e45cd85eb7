#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace dragonflyroad {

/// What a node does with a request while it cannot prove that its configuration is current.
enum class unproved_action { serve, refuse };

/// The policy that a service runs under. Durations here are settings: they become deadlines when a
/// request arrives.
struct profile {
    profile_name name;
    /// Time from the arrival of a request to the end of its answer's first byte.
    std::chrono::milliseconds timeout{10'000};
    /// Longest time without progress on an exchange with an upstream.
    std::chrono::milliseconds idle_timeout{5'000};
    /// Longest time a request waits for an upstream with a free slot.
    std::chrono::milliseconds queue_timeout{1'000};
    std::uint64_t max_body_bytes = 16U << 20U;
    /// Least share of announced capacity that stays in rotation whatever is ejected, 0 to 1.
    double floor = 0.5;
    /// Attempts per request, the first one included.
    std::uint32_t max_attempts = 3;
    /// Retries per first attempt, over the recent past of the service.
    double retry_budget = 0.1;
    bool hedging = false;
    /// Methods that may be repeated beside GET, HEAD and OPTIONS.
    std::set<std::string> repeatable_methods;
    /// Methods that may not be repeated although they are GET, HEAD or OPTIONS.
    std::set<std::string> unsafe_methods;
    unproved_action when_fleet_only = unproved_action::serve;
    unproved_action when_isolated = unproved_action::refuse;
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
    /// Organisations that may use the route; empty means that it is open to all.
    std::set<organisation_id> organisations;
};

/// A tenant with its rate and burst across the whole fleet.
struct organisation {
    organisation_id id;
    /// Requests per second.
    double rate = 0;
    /// Requests.
    double burst = 0;
    /// Share of a busy service relative to other organisations.
    double weight = 1;
};

enum class key_state { granted, withdrawn };

/// A caller's key, held only as the SHA-256 digest of its text.
struct key_record {
    std::string digest;
    organisation_id organisation;
    key_state state = key_state::granted;
};

} // namespace dragonflyroad
