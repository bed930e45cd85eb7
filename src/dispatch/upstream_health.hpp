#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Whether a run that ended without a good answer only ran out of time: it was allowed less than
/// such requests often take, which says nothing about the upstream.
bool was_cut_short(std::chrono::milliseconds elapsed, std::chrono::milliseconds allowed,
                   std::chrono::milliseconds expected_run);

/// Cost of an upstream that has had no request since `idle_since`, given its expected cost. What is
/// not renewed by outcomes says less and less: after a while one repeatable request is sent there
/// as a trial, also when the wait elsewhere is short.
std::chrono::milliseconds cost_when_idle(std::chrono::milliseconds expected, time_point idle_since,
                                         time_point now);

/// What the node beside an upstream has seen of its work, against gray failure: an upstream that
/// fails or stalls requests while its status check is good. Every request of the upstream passes
/// this node, so a few outcomes are enough, and no status check is needed. Nothing is ejected: the
/// judgement is an expected cost that is weighed against the wait elsewhere, so the upstream keeps
/// some work, and a service that is slow as a whole is used as before. Not synchronised.
class upstream_health {
public:
    void note_success(time_point now, std::chrono::milliseconds elapsed,
                      std::chrono::milliseconds expected);
    void note_failure(time_point now);

    /// Share of requests that are expected to fail, 0 to 1.
    double failure_share(time_point now) const;

    /// Run time relative to what the callers' nodes see at the whole service; 1 is usual.
    double slowdown(time_point now) const;

    /// What a request is expected to lose here compared to a sound upstream: the extra run time and
    /// the share of `failure_cost`, which is what a failure loses. `overrun` is how long the oldest
    /// running request exceeds its expected time.
    std::chrono::milliseconds expected_cost(time_point now, std::chrono::milliseconds expected_run,
                                            std::chrono::milliseconds failure_cost,
                                            std::chrono::milliseconds overrun) const;

private:
    double failures = 0;
    double ratio = 1;
    time_point failures_at{};
    time_point ratio_at{};
};

} // namespace dragonflyroad
