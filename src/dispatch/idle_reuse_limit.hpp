#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Limits how long a connection to one upstream may have been idle and still be reused; the limit
/// is learned from connections that the upstream had closed. Upstreams may close idle connections
/// without notice; a request sent on such a connection is reset, and fails if it may not be
/// retried. An upstream that fails resets requests on any connection, also on new ones and on those
/// that carried a request just before; such resets say nothing about idle connections. Not
/// synchronised.
class idle_reuse_limit {
public:
    /// Whether a request that was reset at once may have met a connection which the upstream had
    /// closed while it was idle.
    static bool may_be_stale(time_point idle_since, time_point now);

    /// Records that a request on a connection idle since `idle_since` was reset at once.
    void record_stale_connection(time_point idle_since, time_point now);
    /// Records that a request was reset at once on a connection that had not been idle. Discards
    /// what was learned just before, since the same fault explains it.
    void record_fault(time_point now);

    /// Whether a connection that has been idle since `idle_since` may carry a request.
    bool may_reuse(time_point idle_since, time_point now) const;

private:
    /// Shortest idle time after which a connection had been closed; applies until `forget_at`.
    std::chrono::milliseconds shortest_dropped_idle{0};
    time_point forget_at{};
    time_point learned_at{};
};

} // namespace dragonflyroad
