#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyroad::standin {

/// Faults of a stand-in upstream. The health endpoint reports "ok" in every mode.
enum class fault_mode {
    none,
    /// Accepts requests and never responds to them.
    stall,
    /// Multiplies every service time.
    slow,
    /// Multiplies the service time of a share of the requests.
    slow_share,
    /// Alternates between stalled and healthy; starts stalled.
    flap,
    /// Crashes without a response when a request's path contains `match`, and restarts after
    /// `period`.
    crash,
    /// Connections whose first request came before the fault never respond; new ones work.
    silent_connections,
    /// Refuses all requests with 503 and X-Not-Run.
    shed
};

struct upstream_fault {
    fault_mode mode = fault_mode::none;
    /// Multiplier of the service time for slow and slow_share.
    double factor = 10.0;
    /// Share of the requests that slow_share slows down, 0 to 1.
    double share = 0.2;
    /// Length of each half of a flap cycle, and the time until a crashed upstream restarts.
    std::chrono::milliseconds period{1'000};
    /// Substring of the path of requests that crash the upstream.
    std::string match = "crash";
};

/// Parses a fault from JSON such as {"mode":"slow","factor":10}. Returns nothing, with
/// last_failure() set, when the mode is unknown or a field has the wrong type.
std::optional<upstream_fault> parse_fault(const std::string& json);

} // namespace dragonflyroad::standin
