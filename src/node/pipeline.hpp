#pragma once

#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "node/blackboard.hpp"
#include "node/explain_log.hpp"
#include "node/forwarder.hpp"
#include "node/gates.hpp"
#include "node/request_context.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// What the request path works with; all of it outlives the pipeline.
struct pipeline_parts {
    const blackboard& board;
    gates decisions;
    std::shared_ptr<transport> carrier;
    metrics& counters;
    explain_log& explanations;
    /// Starts every request id, so that ids differ between nodes and runs.
    std::string id_prefix;
};

/// Carries out one request on the calling thread, pass by pass. A pass either lets the request go
/// on or refuses it.
class pipeline {
public:
    explicit pipeline(pipeline_parts parts);

    void handle(http_exchange& exchange);

private:
    using outcome = std::optional<refusal>;
    struct pass {
        std::string_view name;
        outcome (pipeline::*run)(request_context&);
    };

    outcome validate(request_context& context);
    outcome authenticate(request_context& context);
    outcome find_route(request_context& context);
    outcome check_freshness(request_context& context);
    outcome read_body(request_context& context);
    outcome check_crashes(request_context& context);
    outcome claim(request_context& context);
    outcome check_rate(request_context& context);
    outcome forward(request_context& context);

    outcome run_passes(request_context& context);
    void respond(request_context& context, const outcome& refused);
    void release_claim(const request_context& context);
    void record(const request_context& context, const outcome& refused);
    std::string next_id();

    static const std::array<pass, 9> passes;

    pipeline_parts parts;
    forwarder sender;
    std::atomic<std::uint64_t> next_request = 1;
};

} // namespace dragonflyroad
