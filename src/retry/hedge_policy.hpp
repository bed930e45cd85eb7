#pragma once

#include "core/clock.hpp"
#include "retry/retry_budget.hpp"

#include <cstdint>
#include <mutex>
#include <optional>

namespace dragonflyroad {

/// The state of a service on which hedging depends; supplied by the caller.
struct hedge_conditions {
    /// The 50th, 95th and 99th percentile of the service's latency; zero when unknown.
    duration p50{0};
    duration p95{0};
    duration p99{0};
    /// Requests of this node in flight at the service, as a share of its concurrency limits, 0
    /// to 1.
    double utilisation = 0;
    bool is_service_slow = false;
};

/// Decides when a hedged request is sent: a second copy of a repeatable request to another
/// upstream. One object per service; thread-safe, with a lock that only requests reaching the
/// hedging delay take.
///
/// Hedging helps only if the latencies of a service vary widely, between upstreams or by chance.
/// The 99th percentile must be at least three times the median, the service must have spare
/// capacity, and recent hedges must have won often enough. Otherwise the copies only add load.
class hedge_policy {
public:
    /// Time to wait for the first byte before calling try_start_hedge(); nothing when this request
    /// is not to be hedged.
    std::optional<duration> delay(bool is_repeatable, bool is_enabled,
                                  const hedge_conditions& conditions) const;

    /// Whether to send the copy now. Takes one retry from the budget when it returns true.
    bool try_start_hedge(retry_budget& budget, time_point now);

    /// Records whether the copy of a hedged request responded first.
    void record_hedge_result(bool has_copy_won, time_point now);

private:
    std::mutex lock;
    std::uint32_t results = 0;
    std::uint32_t wins = 0;
    time_point paused_until;
};

} // namespace dragonflyroad
