#pragma once

#include "core/clock.hpp"
#include "membership/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflyroad {

/// `one_way`: messages arrive from the peer, or others receive them, but the own link to it is not
/// proved in both directions. `suspect`: nobody is known to hear it. `lost`: suspect for long
/// enough that a refutation would have arrived. `left`: it announced its shutdown.
enum class peer_state : std::uint8_t { alive, one_way, suspect, lost, left };

std::string_view to_code(peer_state state);

struct peer_settings {
    /// 500 ms in fleets of today's size, 1 s at target scale.
    duration ping_interval = std::chrono::milliseconds{500};
    std::size_t pings_per_round = 3;
    /// A two-way proof younger than this makes a peer alive.
    duration alive_window = std::chrono::seconds{3};
    /// How long another node's message from a peer, received after the own link to the peer had
    /// failed, keeps this node from suspecting it by itself.
    duration indirect_window = std::chrono::seconds{30};
    /// Unanswered pings in a row before a peer is doubted. With 1% loss each way a live peer misses
    /// 4 in a row with a probability of 1.6e-7.
    std::size_t doubt_after_misses = 4;
    /// A longer gap between two ticks means that this node itself was paused.
    duration pause_gap = std::chrono::seconds{1};
    /// Entries of the heard list in one message.
    std::size_t max_heard = 8;
    /// Acknowledgements in one ping interval; further pings stay unanswered.
    std::size_t max_acks_per_interval = 64;
    /// Lost and left peers are forgotten after this time.
    duration forget_after = std::chrono::minutes{60};
    /// Whether a higher revision causes an additional round at once, as draining does.
    bool urgent_revisions = true;
};

/// What one node knows of one peer.
struct peer_entry {
    peer_card card;
    peer_state state = peer_state::alive;
    /// Since when the state holds.
    time_point since;
    /// The latest time at which the link was proved in both directions.
    std::optional<time_point> two_way;
    /// The latest message from the peer itself.
    std::optional<time_point> received;
    /// The latest time at which another node received a message from the peer.
    std::optional<time_point> indirect;
    std::optional<time_point> last_pinged;
    /// Pings in a row without acknowledgement, and when the first of them was sent.
    std::size_t misses = 0;
    time_point first_miss;
    /// When a peer reported that nobody hears this one.
    std::optional<time_point> reported;
    /// The version of the card that is suspected somewhere; the peer itself is told.
    std::optional<std::uint64_t> suspected_version;

    /// Whether the peer was heard, directly or by another node, at `time` or later.
    bool heard_since(time_point time) const;
};

/// The state that the evidence supports. `refutation_time` is how long a suspect has to refute.
peer_state judge(const peer_entry& peer, time_point now, const peer_settings& settings,
                 duration refutation_time);

} // namespace dragonflyroad
