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
/// Without new outcomes the evidence for that cost becomes outdated, so the cost drops to zero
/// after 1.6 s. A repeatable request is then sent there as a trial even if the wait elsewhere is
/// short.
std::chrono::milliseconds cost_when_idle(std::chrono::milliseconds expected, time_point idle_since,
                                         time_point now);

/// Detects from the outcomes that the node beside an upstream observes whether the upstream fails
/// gray: it fails or stalls requests while its status check succeeds. All requests to the upstream
/// pass this node, so a few outcomes suffice and no status check is needed. Upstreams are not
/// ejected: the result is an expected cost that is compared with the wait elsewhere, so the
/// upstream keeps some work, and a service that is slow as a whole is used as before. Not
/// synchronised.
class upstream_health {
public:
    void record_success(time_point now, std::chrono::milliseconds elapsed,
                        std::chrono::milliseconds expected);
    void record_failure(time_point now);

    /// Share of requests that are expected to fail, 0 to 1.
    double failure_share(time_point now) const;

    /// Moving average of the ratio of run time to expected run time. The expected run time is the
    /// caller node's mean over all upstreams for the same service and route. Decays to 1, the ratio
    /// of a run that takes the expected time, while no runs succeed.
    double slowdown(time_point now) const;

    /// Time that a request is expected to lose here compared to a healthy upstream: the extra run
    /// time, plus the part of `overrun` above twice `expected_run`, plus the failure share times
    /// `failure_cost`, the time lost by one failure. `overrun` is the most by which a running
    /// request exceeds its expected time.
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
