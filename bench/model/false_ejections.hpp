#pragma once

#include "bench/model/fleet_model.hpp"

#include <string_view>

namespace dragonflyroad::bench {

/// Conditions in which a healthy upstream may look faulty.
enum class benign_condition {
    /// Log-normal times with sigma 0.9, and one request in fifty takes twenty times as long.
    noise,
    /// One organisation raises the offered load to twice the service's capacity for 2 s, and later
    /// to eight times the usual load, or four times the capacity, for 0.5 s.
    burst,
    /// Two upstreams restart and a third joins, all cold.
    cold_start,
    /// Health and load endpoints report two upstreams as down and overloaded. The decisions do not
    /// use these endpoints, so the run equals one without disturbance.
    misreporting,
    /// Responses of one upstream no longer reach one node, and requests of another node no longer
    /// reach another upstream.
    one_way_partition,
    /// Every upstream becomes ten times slower, later three times slower, then normal again.
    slow_service,
    /// All pooled connections to one upstream hang.
    silent_connections,
    /// One node gossips false evidence against one upstream, while service times are noisy.
    rumour,
    count
};

std::string_view to_name(benign_condition situation);

/// Creates a run of 20 s in which the condition begins after 6 s. Noise lasts for the whole run.
scenario make_benign_scenario(benign_condition situation, const service_shape& shape,
                              std::uint64_t seed, bool is_baseline);

struct ejection_counts {
    /// Ejections of upstreams that were healthy and reachable from the ejecting node, and ejections
    /// that blame the upstream where only the network path to it was cut.
    std::uint64_t false_ejections = 0;
    /// Ejections by a node that could not reach the upstream, attributed to the network path.
    std::uint64_t path_ejections = 0;
    /// Times that a node reduced the share of an upstream; all upstreams are healthy in these runs.
    std::uint64_t reductions = 0;
};

/// Runs the scenario and counts ejections and reductions once per node, upstream and occurrence.
ejection_counts count_ejections(const scenario& plan);

} // namespace dragonflyroad::bench
