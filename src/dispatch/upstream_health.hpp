#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Whether a run that ended without a successful response was only stopped by its deadline, which
/// allowed less time than such requests often take. Such a run is no evidence of a fault of the
/// upstream.
bool is_deadline_too_short(std::chrono::milliseconds elapsed, std::chrono::milliseconds allowed,
                           std::chrono::milliseconds expected_run);

/// Cost of an upstream that has received no request since `idle_since`, given its expected cost.
/// Evidence that new outcomes do not renew loses its value, so the cost becomes zero after a while
/// and one repeatable request is sent there as a trial even if the wait elsewhere is short.
std::chrono::milliseconds cost_when_idle(std::chrono::milliseconds expected, time_point idle_since,
                                         time_point now);

/// Detects gray failure of an upstream, which fails or stalls requests while its status check
/// succeeds, from the outcomes that the node beside it observes. All requests to the upstream pass
/// this node, so a few outcomes suffice and no status check is needed. Upstreams are not ejected:
/// the result is an expected cost that is compared with the wait elsewhere, so the upstream keeps
/// some work, and a service that is slow as a whole is used as before. Not synchronised.
class upstream_health {
public:
    void record_success(time_point now, std::chrono::milliseconds elapsed,
                        std::chrono::milliseconds expected);
    void record_failure(time_point now);

    /// Share of requests that are expected to fail, 0 to 1.
    double failure_share(time_point now) const;

    /// Run time relative to the mean that the callers' nodes observe over the whole service; 1 is
    /// usual.
    double slowdown(time_point now) const;

    /// Time that a request is expected to lose here compared to a healthy upstream: the extra run
    /// time plus the failure share times `failure_cost`, the time lost by one failure. `overrun` is
    /// by how much the oldest running request exceeds its expected time.
    std::chrono::milliseconds expected_cost(time_point now, std::chrono::milliseconds expected_run,
                                            std::chrono::milliseconds failure_cost,
                                            std::chrono::milliseconds overrun) const;

private:
    double failure_estimate = 0;
    double run_time_ratio = 1;
    time_point failure_estimated_at{};
    time_point run_time_ratio_at{};
};

} // namespace dragonflyroad
