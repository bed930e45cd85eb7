#pragma once

#include "core/clock.hpp"
#include "retry/retry_budget.hpp"

#include <cstdint>
#include <mutex>
#include <optional>

namespace dragonflyroad {

/// What the hedging decision needs to know of a service; from the routing controller.
struct hedge_conditions {
    /// The 50th, 95th and 99th percentile of the service's latency; zero when unknown.
    duration p50{0};
    duration p95{0};
    duration p99{0};
    /// Requests of this node in flight at the service, relative to its concurrency limits, 0 to 1.
    double utilisation = 0;
    bool is_service_slow = false;
};

/// Decides when a second copy of a repeatable request is sent to another upstream. One object per
/// service; thread-safe, with a lock that is taken only by requests that reach the hedging delay.
///
/// A hedge pays only when latencies of one service differ much between upstreams or by chance:
/// the 99th percentile must be at least three times the median, the service must have room, and
/// hedges must have won often enough lately. Otherwise the copies only add load.
class hedge_policy {
public:
    /// How long to wait for the first byte before hedge() is called; nothing when this request is
    /// never hedged.
    std::optional<duration> delay(bool is_repeatable, bool is_enabled,
                                  const hedge_conditions& conditions) const;

    /// Whether to send the copy now. Takes a retry from the budget when it returns true.
    bool hedge(retry_budget& budget, time_point now);

    /// A hedged request has its answer: whether it came from the copy.
    void note_result(bool has_copy_won, time_point now);

private:
    std::mutex lock;
    std::uint32_t results = 0;
    std::uint32_t wins = 0;
    time_point paused_until;
};

} // namespace dragonflyroad
