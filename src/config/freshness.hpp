#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace dragonflyroad {

/// What a node can prove about its configuration: that no newer one exists (`current`), that the
/// store answers nobody in reach while most of the fleet is in contact (`fleet_only`), or nothing
/// (`isolated`).
enum class freshness_state { current, fleet_only, isolated };

/// Age of the latest proof that this node's configuration is the newest one. A withdrawn key has to
/// stop working within 3 s, so a proof counts for 3 s.
class freshness {
public:
    static constexpr std::chrono::seconds proof_lifetime{3};

    /// Notes that the configuration was the newest one at `as_of`: the time before a read or watch
    /// of the head was sent, or for a relayed proof the ping's sending time less the stated age.
    void note_proof(time_point as_of);

    /// `known_nodes` counts the nodes that are not lost or left, `heard_nodes` those of them with
    /// contact in both directions; both include this node.
    freshness_state state(time_point now, std::size_t known_nodes, std::size_t heard_nodes) const;

    /// Time of the latest proof, for relaying its age; nothing before the first one.
    std::optional<time_point> latest_proof() const;

private:
    std::optional<time_point> proved;
};

} // namespace dragonflyroad
