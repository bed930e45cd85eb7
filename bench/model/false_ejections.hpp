#pragma once

#include "bench/model/fleet_model.hpp"

#include <string_view>

namespace dragonflyroad::bench {

/// Situations in which an upstream may look bad and is not.
enum class harmless {
    /// Log-normal times with sigma 0.9, and one request in fifty takes twenty times as long.
    noise,
    /// One organisation sends so much that the service is offered twice its capacity for 2 s.
    burst,
    /// Two upstreams restart and a third joins, all cold.
    cold_start,
    /// Health and load endpoints say that two upstreams are down and overloaded. The decisions have
    /// no such input, so the run equals an undisturbed one.
    misreporting,
    /// One node no longer hears one upstream, another one is no longer heard by it.
    one_way_partition,
    /// Every upstream becomes ten times slower, later three times, then ordinary again.
    slow_service,
    /// All pooled connections to one upstream become unresponsive.
    silent_connections,
    /// A node that sees one upstream as bad tells everybody, while the service is noisy.
    rumour,
    count
};

std::string_view to_name(harmless situation);

/// A run of 20 s in which the situation begins after 6 s.
scenario harmless_scenario(harmless situation, const service_shape& shape, std::uint64_t seed,
                           bool is_baseline);

struct ejection_counts {
    /// Ejections of upstreams that were sound and reachable from the ejecting node, and verdicts of
    /// an upstream's fault where only the way to it was cut.
    std::uint64_t false_ejections = 0;
    /// Upstreams taken out by the node that could not reach them, as a fault of the path.
    std::uint64_t path_ejections = 0;
    /// Times a sound upstream got less work.
    std::uint64_t reductions = 0;
};

ejection_counts count_ejections(const scenario& plan);

} // namespace dragonflyroad::bench
