#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyroad::standin {

/// What a stand-in upstream does wrong. The health endpoint keeps answering "ok" in every mode.
enum class fault_mode {
    none,
    /// Accepts requests and never answers them.
    stall,
    /// Multiplies every service time.
    slow,
    /// Multiplies the service time of a share of the requests.
    slow_share,
    /// Alternates between well and stalled.
    flap,
    /// Ends without an answer when a request's path contains `match`, and restarts later.
    crash,
    /// Connections opened before the fault never answer; new ones work.
    silent_connections,
    /// Refuses all work with 503 and X-Not-Run.
    shed
};

struct upstream_fault {
    fault_mode mode = fault_mode::none;
    /// Multiplier of the service time for slow and slow_share.
    double factor = 10.0;
    /// Share of the requests that slow_share slows down, 0 to 1.
    double share = 0.2;
    /// Length of each half of a flap cycle, and the time a crashed upstream stays away.
    std::chrono::milliseconds period{1'000};
    /// Part of the path that makes a request crash the upstream.
    std::string match = "crash";
};

/// Reads a fault from JSON such as {"mode":"slow","factor":10}; returns nothing when the mode or a
/// field is not known.
std::optional<upstream_fault> parse_fault(const std::string& json);

} // namespace dragonflyroad::standin
