#pragma once

#include "adapters/metrics.hpp"
#include "adapters/transport.hpp"
#include "node/gates.hpp"
#include "node/request_context.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// The last passes of the pipeline: picks an upstream, sends the request, passes the answer on, and
/// tries again where that is safe.
class forwarder {
public:
    forwarder(std::shared_ptr<transport> carrier, gates decisions, metrics& counters);

    /// Nothing when an answer has gone to the client, whole or visibly cut.
    std::optional<refusal> forward(request_context& context);

private:
    struct attempt;

    std::optional<upstream_place> acquire(const request_context& context,
                                          const std::vector<upstream_id>& tried,
                                          refusal_reason& why);
    outbound_request build_request(const request_context& context) const;
    void run(request_context& context, attempt& current);
    void attribute(request_context& context, attempt& current);
    void account(request_context& context, const attempt& current);
    void end_answer(request_context& context, const attempt& current);
    std::optional<retry_reason> may_retry(request_context& context, const attempt& current,
                                          std::uint32_t attempts);

    std::shared_ptr<transport> carrier;
    gates decisions;
    metrics& counters;
};

} // namespace dragonflyroad
