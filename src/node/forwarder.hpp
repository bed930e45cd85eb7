#pragma once

#include "adapters/metrics.hpp"
#include "adapters/transport.hpp"
#include "node/decision_interfaces.hpp"
#include "node/request_context.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// The last stage of the pipeline: selects an upstream, sends the request, relays the response to
/// the client, and retries where that is safe.
class forwarder {
public:
    forwarder(std::shared_ptr<transport> upstream_client, decision_interfaces decisions,
              metrics& counters);

    /// Returns nothing when a response has been sent to the client, either complete or truncated
    /// with the connection closed.
    std::optional<refusal> forward(request_context& context);

private:
    struct attempt;

    std::optional<upstream_slot> acquire_slot(const request_context& context,
                                              const std::vector<upstream_id>& tried,
                                              refusal_reason& why);
    outbound_request build_request(const request_context& context) const;
    void run_attempt(request_context& context, attempt& current);
    void detect_crash(request_context& context, attempt& current);
    void record_execution(request_context& context, const attempt& current);
    void finish_response(request_context& context, const attempt& current);
    std::optional<retry_reason> may_retry(request_context& context, const attempt& current,
                                          std::uint32_t attempts);

    std::shared_ptr<transport> upstream_client;
    decision_interfaces decisions;
    metrics& counters;
};

} // namespace dragonflyroad
