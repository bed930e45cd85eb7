#pragma once

#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "node/decision_interfaces.hpp"
#include "node/explain_log.hpp"
#include "node/forwarder.hpp"
#include "node/request_context.hpp"
#include "node/shared_node_state.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// Objects that the request path uses. References must outlive the pipeline.
struct pipeline_dependencies {
    const shared_node_state& shared_state;
    decision_interfaces decisions;
    std::shared_ptr<transport> upstream_client;
    metrics& counters;
    explain_log& explanations;
    /// Prefix of every request id; makes ids unique across nodes and runs.
    std::string id_prefix;
};

/// Processes one request on the calling thread in a fixed sequence of stages. Each stage either
/// passes the request to the next one or refuses it.
class pipeline {
public:
    explicit pipeline(pipeline_dependencies deps);

    void handle(http_exchange& exchange);

private:
    using outcome = std::optional<refusal>;
    struct stage {
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

    outcome run_stages(request_context& context);
    void send_refusal(request_context& context, const outcome& refused);
    void complete_claim(const request_context& context);
    void record_explanation(const request_context& context, const outcome& refused);
    std::string next_id();

    static const std::array<stage, 9> stages;

    pipeline_dependencies deps;
    forwarder upstream_forwarder;
    std::atomic<std::uint64_t> next_request = 1;
};

} // namespace dragonflyroad
