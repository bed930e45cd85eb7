#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>

namespace dragonflyroad {

/// The names of the headers by which callers, nodes and upstreams of one platform understand each
/// other. The platform's adapter fills them in.
struct header_names {
    /// Identifies a request; upstreams echo it.
    std::string request_id;
    /// Milliseconds that the caller still waits.
    std::string deadline;
    /// The caller's key.
    std::string key;
    /// The organisation of the key, told to upstreams.
    std::string organisation;
    /// The service on whose VM the request began, told to upstreams.
    std::string caller_service;
    /// The lifetime of the upstream that is meant; any other one refuses the request.
    std::string expected_upstream;
    /// Present on whole answers that an upstream made itself.
    std::string signature;
    /// Present on answers of an upstream that did not run the request.
    std::string not_run;
    /// The lifetime that answered.
    std::string upstream_id;
};

/// What the caller's node decided about a request and the upstream is told.
struct forwarded_identity {
    organisation_id organisation;
    service_name caller_service;
};

/// The headers of a request as they go on to the upstream's node: end-to-end headers only, without
/// the key and without any value of the headers that the fleet sets itself.
http_headers forwarded_headers(const http_headers& received, const header_names& names,
                               const forwarded_identity& identity);

/// The headers that the node beside the upstream adds.
void add_hop_headers(http_headers& headers, const header_names& names,
                     std::chrono::milliseconds time_left, const std::string& upstream);

/// Whether the answer is one that its upstream made whole: a success has a signature and no
/// encoding.
bool is_whole_answer(int status, const http_headers& headers, const header_names& names);

} // namespace dragonflyroad
