#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"
#include "core/reasons.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Why a request was refused, or why the node has no response for it.
struct refusal {
    refusal_reason reason = refusal_reason::malformed_request;
    /// Whether the request may have run; `no` is a guarantee.
    ran executed = ran::no;
    std::string detail;
    /// Profile of the request's service, if known. Profile and `revision` are sent only with
    /// refusals that are decided by policy.
    std::optional<profile_name> profile;
    revision_number revision = 0;
    /// Absent if waiting does not help. Sent in seconds, with a fraction if it is not whole.
    std::optional<std::chrono::milliseconds> retry_after;
};

http_headers refusal_headers(const refusal& refused, const std::string& id);

/// Body of the refusal's response, as application/problem+json.
std::string refusal_body(const refusal& refused, const std::string& id);

} // namespace dragonflyroad
