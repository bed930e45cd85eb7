#pragma once

#include "core/reasons.hpp"
#include "mesh/dispatched_request.hpp"
#include "mesh/request_headers.hpp"
#include "mesh/routing_table.hpp"

#include <memory>
#include <string>
#include <variant>

namespace dragonflyroad {

/// State of the node that admission depends on.
struct admission_context {
    std::shared_ptr<const routing_table> table;
    /// Whether the configuration was known to be the latest within the last 3 s.
    bool is_current = false;
    /// Whether the configuration is fresh enough to accept its keys.
    bool may_trust_keys = false;
    bool is_stopping = false;
    service_name caller_service;
};

struct admission_refusal {
    refusal_reason reason = refusal_reason::malformed_request;
    std::string id;
    std::string detail;
    revision_number revision = 0;
};

using admission_result = std::variant<admitted_request, admission_refusal>;

/// Decides whether a request is served and determines its route, organisation, rank and deadline.
/// An outdated configuration may lack a new route or key, so an unknown route and a missing or
/// unknown key are refused as such (404, 401) only while the configuration is current, and with
/// status 503 otherwise.
admission_result admit(http_request request, time_point arrived, const admission_context& view,
                       const header_names& names, random_engine& random);

} // namespace dragonflyroad
