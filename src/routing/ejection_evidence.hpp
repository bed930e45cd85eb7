#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/ejection_step.hpp"

#include <cstdint>
#include <map>

namespace dragonflyroad {

/// One node's observations of one upstream, gossiped while any node suspects the upstream. Nodes
/// send observations instead of verdicts, so that the receiver can tell a fault of the upstream
/// from a fault on the sender's side.
struct ejection_evidence {
    node_id from;
    service_name service;
    upstream_id upstream;
    /// Log-likelihood ratio of the sender's own observations, 0 (no evidence) to 60. It never
    /// includes evidence from peers, so that nodes cannot confirm each other's suspicion in a
    /// circle.
    double suspicion = 0;
    /// Responses of ordinary latency within about the last 2 s.
    std::uint32_t good = 0;
    ejection_step step = ejection_step::healthy;
    /// Time of the observation on the receiver's clock: time of receipt minus the age that the
    /// sender states.
    time_point as_of;
};

/// Evidence older than this is ignored.
constexpr duration evidence_lifetime = std::chrono::seconds{2};
/// A node gossips its evidence when its own suspicion reaches this, and also when the upstream is
/// ejected, in probation or suspected by a peer. Peers below it may count as `good` in
/// peer_evidence_counts.
constexpr double suspicion_to_gossip = 4;

/// The numbers of peers that see an upstream as faulty (`bad`), and of those with at least two
/// recent ordinary responses and little suspicion (`good`).
struct peer_evidence_counts {
    std::uint32_t bad = 0;
    std::uint32_t good = 0;
};

/// Counts the peers whose evidence dates from `since` or later and is not older than
/// `evidence_lifetime`.
peer_evidence_counts count_peer_evidence(const std::map<node_id, ejection_evidence>& peers,
                                         time_point since, time_point now);

} // namespace dragonflyroad
