#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad::standin {

/// One organisation's load.
struct caller_group {
    std::string organisation;
    std::string key;
    /// Requests per second.
    double rate = 10;
};

struct callers_options {
    /// Callers' addresses of the nodes; each request goes to one of them in turn.
    std::vector<std::string> nodes;
    std::vector<caller_group> groups;
    std::string path = "/";
    std::string unsafe_path;
    /// Share of requests that are POSTs with an Idempotency-Key, 0 to 1.
    double unsafe_share = 0;
    /// Share of unsafe requests that are sent a second time through another node, 0 to 1.
    double resend_share = 0;
    std::size_t response_bytes = 0;
    std::chrono::milliseconds run_for{5'000};
    std::uint32_t connections_per_group = 8;
    std::uint64_t seed = 1;
};

/// What one organisation's callers saw.
struct caller_report {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Answers to another request, cut answers, or answers with a wrong digest.
    std::uint64_t wrong = 0;
    std::uint64_t connection_failures = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::vector<std::chrono::microseconds> latencies;
};

/// Parses "organisation:key:rate".
std::optional<caller_group> parse_group(const std::string& text);

/// Sends load for a bounded time and returns a report for each organisation. Requests are paced by
/// the clock, whether or not earlier answers have arrived, up to the number of connections.
std::map<std::string, caller_report> run_callers(const callers_options& options);

} // namespace dragonflyroad::standin
