#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/ejection_step.hpp"

#include <cstdint>
#include <map>

namespace dragonflyroad {

/// What one node has observed of one upstream; gossiped while any node suspects the upstream. It
/// holds observations, so that the receiver can tell a fault of the upstream from a fault of the
/// sender's view.
struct ejection_evidence {
    node_id from;
    service_name service;
    upstream_id upstream;
    /// Log-likelihood ratio of the sender's own observations, 0 (none) to 30. Never includes what
    /// the sender was told, so that a rumour cannot support itself.
    double suspicion = 0;
    /// Responses of ordinary latency within the last 2 s.
    std::uint32_t good = 0;
    ejection_step step = ejection_step::healthy;
    /// When it was true, on the receiver's clock: time of receipt less the stated age.
    time_point as_of;
};

/// Evidence older than this is ignored.
constexpr duration evidence_lifetime = std::chrono::seconds{2};
/// Suspicion from which a node tells its peers.
constexpr double suspicion_worth_telling = 4;

/// How many peers see an upstream as bad, and how many use it without trouble.
struct peer_opinion {
    std::uint32_t bad = 0;
    std::uint32_t good = 0;
};

/// Counts the evidence that was true after `since` and is not too old.
peer_opinion weigh_evidence(const std::map<node_id, ejection_evidence>& peers, time_point since,
                            time_point now);

} // namespace dragonflyroad
