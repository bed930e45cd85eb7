#pragma once

#include "core/clock.hpp"
#include "membership/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflyroad {

/// `one_way`: messages from the peer reach this or another node, but this node has no recent proof
/// that its own link works in both directions. `suspect`: no node is known to have received
/// messages from it recently. `lost`: suspect for longer than a refutation takes to arrive. `left`:
/// announced its shutdown.
enum class peer_state : std::uint8_t { alive, one_way, suspect, lost, left };

std::string_view to_code(peer_state state);

struct peer_settings {
    /// 500 ms at the current fleet size; 1 s at target scale.
    duration ping_interval = std::chrono::milliseconds{500};
    std::size_t pings_per_round = 3;
    /// A peer with a two-way proof younger than this is alive.
    duration alive_window = std::chrono::seconds{3};
    /// For this long after another node received a message from the peer, this node does not
    /// suspect the peer on its own. Only messages later than this node's first unacknowledged ping
    /// count.
    duration indirect_window = std::chrono::seconds{30};
    /// Number of consecutive unacknowledged pings after which a peer counts as unresponsive. With
    /// 1% loss in each direction, a live peer misses 4 in a row with a probability of 1.6e-7; two
    /// more give the results of indirect probes time to arrive when many links work in one
    /// direction only.
    std::size_t unresponsive_after_misses = 6;
    /// A longer gap between two ticks counts as a pause of this process.
    duration pause_gap = std::chrono::seconds{1};
    /// Maximum number of last-received entries in one message. With 8, a node in a fleet of 27
    /// exceeded the 6,000 B/s that the benchmark control_bytes allows.
    std::size_t max_last_received = 6;
    /// Maximum number of pings acknowledged between two ping rounds; further ones are not
    /// acknowledged.
    std::size_t max_acks_per_interval = 64;
    /// Lost and left peers are removed after this time.
    duration remove_after = std::chrono::minutes{60};
    /// Whether a higher configuration revision requests an additional ping round, as a draining or
    /// deregistered upstream does.
    bool urgent_revisions = true;
};

/// State of one peer as known to this node.
struct peer_entry {
    peer_descriptor node_descriptor;
    peer_state state = peer_state::alive;
    /// When the peer entered its state.
    time_point since;
    /// Latest time at which the link was proved to work in both directions.
    std::optional<time_point> last_two_way_proof;
    /// When the latest message from the peer itself arrived.
    std::optional<time_point> last_received;
    /// Latest time at which another node received a message from the peer.
    std::optional<time_point> last_received_by_others;
    std::optional<time_point> last_pinged;
    /// Consecutive unacknowledged pings, and when the first of them was sent.
    std::size_t missed_pings = 0;
    time_point first_missed_at;
    /// When a suspicion of the peer arrived from another node. Reset by a later message from the
    /// peer to any node, or by a refutation.
    std::optional<time_point> suspicion_received;
    /// Version of the descriptor that is suspected by some node. Messages to the peer carry it, so
    /// that the peer can refute the suspicion.
    std::optional<std::uint64_t> suspected_version;

    /// Whether this or another node received a message from the peer at `time` or later.
    bool received_since(time_point time) const;
};

/// Returns the state that the evidence supports. A suspect becomes lost if it does not refute the
/// suspicion within `refutation_time`.
peer_state evaluate_state(const peer_entry& peer, time_point now, const peer_settings& settings,
                          duration refutation_time);

} // namespace dragonflyroad
