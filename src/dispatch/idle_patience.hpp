#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// How long an idle connection to one upstream may be reused, learned from connections that turned
/// out to be dropped. Upstreams may drop idle connections without notice; a request sent on one is
/// reset, and one that may not be repeated is lost. Not synchronised.
class idle_patience {
public:
    /// A request on a connection that had been idle since `idle_since` was reset at once.
    void note_dropped(time_point idle_since, time_point now);

    /// Whether a connection that is idle since `idle_since` may carry a request.
    bool may_reuse(time_point idle_since, time_point now) const;

private:
    /// Connections idle for longer are not trusted, until the memory ends.
    std::chrono::milliseconds shortest_dropped{0};
    time_point forget_at{};
};

} // namespace dragonflyroad
