#pragma once

#include "core/clock.hpp"
#include "dispatch/work_queue.hpp"

#include <chrono>
#include <optional>

namespace dragonflyroad {

/// What is known when a request arrives at the node that its caller is connected to.
struct arrival {
    work_rank rank;
    /// Time after which a start is of no use to the caller.
    time_point latest_start{};
    std::chrono::milliseconds expected_run{0};
    /// Shortest expected wait at an upstream of the service; nothing while too little is known.
    std::optional<std::chrono::milliseconds> shortest_wait;
};

/// Rejection of a request on arrival, with the time after which it is worth coming back.
struct door_rejection {
    std::chrono::milliseconds retry_after{0};
};

} // namespace dragonflyroad
