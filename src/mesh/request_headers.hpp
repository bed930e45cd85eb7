#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>

namespace dragonflyroad {

/// The names of the headers that callers, nodes and upstreams of a platform exchange. The
/// platform's adapter sets them.
struct header_names {
    /// Request identifier; upstreams echo it.
    std::string request_id;
    /// Time that the caller will still wait, in milliseconds.
    std::string deadline;
    /// The caller's key.
    std::string key;
    /// The organisation of the key; sent to upstreams.
    std::string organisation;
    /// The service on whose VM the request originated; sent to upstreams.
    std::string caller_service;
    /// The lifetime of the upstream for which the request is meant; any other lifetime refuses it.
    std::string expected_upstream;
    /// Present on complete responses that an upstream produced itself.
    std::string signature;
    /// Present on responses of an upstream that did not run the request.
    std::string not_run;
    /// The lifetime of the upstream that responded.
    std::string upstream_id;
};

/// The identity that the caller's node determined for a request and forwards to the upstream.
struct forwarded_identity {
    organisation_id organisation;
    service_name caller_service;
};

/// The headers of a request as forwarded to the upstream's node. Only end-to-end headers are kept;
/// the key and any received values of headers that the fleet sets itself are removed, and
/// `identity` is added.
http_headers forwarded_headers(const http_headers& received, const header_names& names,
                               const forwarded_identity& identity);

/// Adds the headers that the node beside the upstream sets: the remaining time and the expected
/// lifetime.
void add_upstream_headers(http_headers& headers, const header_names& names,
                          std::chrono::milliseconds time_left, const std::string& upstream);

/// Whether the upstream itself produced the response completely. A success must have a signature
/// and no Content-Encoding; other statuses always count as complete.
bool is_complete_response(int status, const http_headers& headers, const header_names& names);

} // namespace dragonflyroad
