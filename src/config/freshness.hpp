#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace dragonflyroad {

/// What a node can prove about its configuration. `current`: no newer one exists. `fleet_only`:
/// the node has no such proof although it has contact with more than half of the fleet, so the
/// store answers none of these nodes. `isolated`: the node has neither the proof nor the contact.
enum class freshness_state { current, fleet_only, isolated };

/// Tracks the latest proof that this node's configuration is the newest one. A withdrawn key has to
/// stop working within 3 s, so a proof is valid for 3 s.
class freshness {
public:
    static constexpr std::chrono::seconds proof_lifetime{3};

    /// Records that the configuration was the newest one at `as_of`. This is the time just before a
    /// read or watch of the head was sent; for a relayed proof, the sending time of the ping minus
    /// the age that the peer states.
    void record_proof(time_point as_of);

    /// `known_nodes` is the number of nodes that are neither lost nor left, `reachable_nodes` the
    /// number of these with contact in both directions. Both include this node.
    freshness_state state(time_point now, std::size_t known_nodes,
                          std::size_t reachable_nodes) const;

    /// Time of the latest proof, whose age is relayed to peers; empty before the first proof.
    std::optional<time_point> latest_proof() const;

private:
    std::optional<time_point> latest_proof_time;
};

} // namespace dragonflyroad
