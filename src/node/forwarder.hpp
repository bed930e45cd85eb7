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
    enum class verdict { answered, retry, failed };

    std::optional<upstream_place> acquire(const request_context& context,
                                          const std::vector<upstream_id>& tried,
                                          refusal_reason& why);
    void run(request_context& context, attempt& current);
    void account(request_context& context, attempt& current);
    verdict judge(request_context& context, attempt& current);
    void end_cut_answer(request_context& context, const attempt& current);
    bool may_retry(request_context& context, attempt& current, std::size_t attempts);
    outbound_request build_request(const request_context& context) const;

    std::shared_ptr<transport> carrier;
    gates decisions;
    metrics& counters;
};

} // namespace dragonflyroad
