#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace dragonflyroad {

/// What a node can prove about its configuration. `current`: it was the newest one within the last
/// 3 s. `fleet_only`: the node has no such proof, but has contact with more than half of the fleet;
/// probably the store answers none of these nodes. `isolated`: the node has neither.
enum class freshness_state { current, fleet_only, isolated };

/// Tracks the latest proof that this node's configuration is the newest one. A withdrawn key has to
/// stop working within 3 s, so a proof is valid for 3 s.
class freshness {
public:
    static constexpr std::chrono::seconds proof_lifetime{3};

    /// Records that the configuration was the newest one at `as_of`: the time just before a read or
    /// watch of the head was sent or, for a proof relayed by a peer, the sending time of the ping
    /// minus the age that the peer states.
    void record_proof(time_point as_of);

    /// `known_nodes` is the number of nodes that have not left, including lost ones;
    /// `reachable_nodes` is the number of these with recent contact in both directions. Both
    /// include this node.
    freshness_state state(time_point now, std::size_t known_nodes,
                          std::size_t reachable_nodes) const;

    /// Time of the latest proof, empty before the first one. Its age is relayed to peers.
    std::optional<time_point> latest_proof() const;

private:
    std::optional<time_point> latest_proof_time;
};

} // namespace dragonflyroad
