#pragma once

#include "adapters/http_server.hpp"
#include "config/model.hpp"
#include "core/clock.hpp"
#include "node/decision_interfaces.hpp"
#include "node/refusal.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// State of one request in the pipeline. Each stage fills in what later stages need. The pointers
/// refer to objects in `config`.
struct request_context {
    explicit request_context(http_exchange& client) : exchange(client) {}

    http_exchange& exchange;
    std::string id;
    time_point arrival_time;
    std::shared_ptr<const configuration> config;
    std::optional<organisation> caller_organisation;
    const route* matched_route = nullptr;
    const profile* service_profile = nullptr;
    service_name service;
    /// Latest time for the first byte of the response.
    time_point deadline;
    std::string body;
    std::uint64_t fingerprint = 0;
    bool is_repeatable = false;
    /// Whether this is the half-open trial: the first request let through after requests with its
    /// fingerprint were refused for crashing upstreams.
    bool is_crash_trial = false;
    bool has_crashed = false;
    std::optional<claim_subject> claim;
    /// Whether an upstream has executed the request, as far as known.
    ran executed = ran::no;
    /// Time spent on exchanges with upstreams.
    duration upstream_time{};
    std::vector<std::string> steps;

    /// The path without the query.
    std::string path() const
    {
        const std::string& target = this->exchange.head().target;
        return target.substr(0, target.find('?'));
    }
};

} // namespace dragonflyroad
