#include "core/reasons.hpp"

#include <array>

namespace dragonflyroad {
namespace {

constexpr auto policy = decision_source::policy;
constexpr auto by_system = decision_source::system;

// Indexed by refusal_reason.
constexpr std::array<refusal_description, refusal_reason_count> refusals{{
    {"malformed_request", 400, "The request is malformed or ambiguous", by_system},
    {"route_unknown", 404, "No route matches the request", policy},
    {"key_missing", 401, "The request carries no key", policy},
    {"key_unknown", 401, "The key is not known", policy},
    {"key_withdrawn", 401, "The key has been withdrawn", policy},
    {"key_unverified", 503, "This node cannot prove that the key is still valid", by_system},
    {"organisation_not_allowed", 403, "The organisation may not use this route", policy},
    {"organisation_rate", 429, "The organisation has used its rate and burst", policy},
    {"body_too_large", 413, "The request body is larger than the profile allows", policy},
    {"header_too_large", 431, "The request headers are too large", by_system},
    {"configuration_missing", 503, "This node has no configuration yet", by_system},
    {"rights_unproved", 503, "This node cannot prove its share of the rate", by_system},
    {"queue_full", 503, "Too many requests are waiting for this service", by_system},
    {"queue_timeout", 503, "No upstream became free in time", by_system},
    {"overload_shed", 503, "The service is overloaded", by_system},
    {"no_healthy_upstream", 503, "No upstream of the service can take work", by_system},
    {"deadline_exceeded", 504, "The deadline has passed", by_system},
    {"upstream_failed", 502, "The upstream failed while it had the request", by_system},
    {"upstream_refused", 503, "Every upstream that was tried refused the work", by_system},
    {"crash_suspect", 503, "Requests like this one have crashed upstreams", by_system},
    {"repeat_in_progress", 409, "The same request is already running", by_system},
    {"repeat_done", 409, "The same request has already run", by_system},
    {"repeat_unknown", 503, "It cannot be known whether the same request has run", by_system},
    {"claim_unavailable", 503, "The node that remembers this request cannot be reached", by_system},
    {"node_stopping", 503, "This node is stopping", by_system},
    {"data_centres_evacuated", 503, "All data centres with the service are evacuated", policy},
    {"memory_short", 503, "This node has no memory left for the request", by_system},
}};

constexpr std::array<std::string_view, retry_reason_count> retries{
    "connect_failed", "not_run_by_upstream", "upstream_died", "timed_out",
    "hedged",         "stale_connection"};

} // namespace

const refusal_description& describe(refusal_reason reason)
{
    return refusals.at(static_cast<std::size_t>(reason));
}

std::string_view to_code(retry_reason reason)
{
    return retries.at(static_cast<std::size_t>(reason));
}

std::string_view to_code(ran value)
{
    switch (value) {
    case ran::no:
        return "no";
    case ran::yes:
        return "yes";
    case ran::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_code(decision_source source)
{
    return source == decision_source::policy ? "policy" : "system";
}

} // namespace dragonflyroad
