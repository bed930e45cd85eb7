#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad::standin {

/// Load that the callers of one organisation send.
struct organisation_load {
    std::string organisation;
    std::string key;
    /// Requests per second.
    double rate = 10;
};

struct load_options {
    /// Caller addresses of the nodes; each worker sends to them in round-robin order.
    std::vector<std::string> nodes;
    std::vector<organisation_load> loads;
    std::string path = "/";
    /// Path of POST requests; empty means `path`.
    std::string unsafe_path;
    /// Share of requests that are sent as POST with an Idempotency-Key, 0 to 1.
    double unsafe_share = 0;
    /// Share of POST requests that are sent a second time, through the next node, 0 to 1.
    double resend_share = 0;
    /// Response size that requests ask for; 0 leaves it to the upstream.
    std::size_t response_bytes = 0;
    std::chrono::milliseconds run_for{5'000};
    std::uint32_t connections_per_load = 8;
    std::uint64_t seed = 1;
};

/// Results of the requests of one organisation.
struct load_report {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Responses that belong to another request, are truncated or fail the digest check, and
    /// requests that failed after the connection was established.
    std::uint64_t wrong = 0;
    std::uint64_t connection_failures = 0;
    /// Refused requests by reason code.
    std::map<std::string, std::uint64_t> refusals;
    std::vector<std::chrono::microseconds> latencies;
};

/// Parses "organisation:key:rate", with the rate in requests per second. Returns nothing, with
/// last_failure() set, when the text is malformed.
std::optional<organisation_load> parse_organisation_load(const std::string& text);

/// Generates load for `run_for` and returns a report for each organisation. Each organisation has
/// `connections_per_load` workers. A worker sends its requests on a fixed schedule but one at a
/// time, so a slow response delays its later requests.
std::map<std::string, load_report> generate_load(const load_options& options);

} // namespace dragonflyroad::standin
