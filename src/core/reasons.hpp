#pragma once

#include <cstddef>
#include <string_view>

namespace dragonflyroad {

/// The reasons for which a node refuses a request. Each has a fixed code, which is also the label
/// of its counter.
enum class refusal_reason {
    malformed_request,
    route_unknown,
    key_missing,
    key_unknown,
    key_withdrawn,
    key_unverified,
    organisation_not_allowed,
    organisation_rate,
    body_too_large,
    header_too_large,
    configuration_missing,
    rights_unproved,
    queue_full,
    queue_timeout,
    overload_shed,
    no_healthy_upstream,
    deadline_exceeded,
    upstream_failed,
    upstream_refused,
    crash_suspect,
    repeat_in_progress,
    repeat_done,
    repeat_unknown,
    claim_unavailable,
    node_stopping,
    data_centres_evacuated,
    memory_short,
    count
};

/// Whether a refusal follows from the operators' configuration (policy) or has another cause, such
/// as a malformed request or the state of the fleet (system).
enum class decision_source { policy, system };

/// Whether any part of the request may have run on an upstream.
enum class ran { no, unknown, yes };

/// Why a node sent a request again.
enum class retry_reason {
    connect_failed,
    not_run_by_upstream,
    upstream_died,
    timed_out,
    hedged,
    stale_connection,
    count
};

struct refusal_description {
    std::string_view code;
    int status = 0;
    std::string_view title;
    decision_source decided_by = decision_source::system;
};

/// The fixed code, HTTP status, title and decision source of a refusal reason.
const refusal_description& describe(refusal_reason reason);
std::string_view to_code(retry_reason reason);
std::string_view to_code(ran value);
std::string_view to_code(decision_source source);

constexpr auto refusal_reason_count = static_cast<std::size_t>(refusal_reason::count);
constexpr auto retry_reason_count = static_cast<std::size_t>(retry_reason::count);

} // namespace dragonflyroad
