#pragma once

#include "adapters/http_server.hpp"
#include "config/model.hpp"
#include "core/clock.hpp"
#include "node/gates.hpp"
#include "node/refusal.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// One request on its way through the passes of the pipeline. Each pass fills in what later ones
/// need; the pointers refer into `config`.
struct request_context {
    explicit request_context(http_exchange& client) : exchange(client) {}

    http_exchange& exchange;
    std::string id;
    time_point arrived;
    std::shared_ptr<const configuration> config;
    std::optional<organisation> tenant;
    const route* matched = nullptr;
    const profile* rules = nullptr;
    service_name service;
    /// Latest time for the first byte of the answer.
    time_point deadline;
    std::string body;
    std::uint64_t fingerprint = 0;
    bool is_repeatable = false;
    /// The first request after a time in which its like was refused for crashing upstreams.
    bool is_crash_trial = false;
    bool has_crashed = false;
    std::optional<claim_subject> claim;
    /// What is known of the request's execution so far.
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
