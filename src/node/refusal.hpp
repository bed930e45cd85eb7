#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"
#include "core/reasons.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A request that a node does not carry out, or whose answer it does not have.
struct refusal {
    refusal_reason reason = refusal_reason::malformed_request;
    /// Whether the request can have run; `no` is a promise.
    ran executed = ran::no;
    std::string detail;
    /// The profile that decided, where a policy did.
    std::optional<profile_name> profile;
    revision_number revision = 0;
    /// Absent where waiting does not help. Sent in seconds, with a fraction where it has one.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Headers of the answer that carries the refusal.
http_headers refusal_headers(const refusal& refused, const std::string& id);

/// The body, as application/problem+json.
std::string refusal_body(const refusal& refused, const std::string& id);

} // namespace dragonflyroad
