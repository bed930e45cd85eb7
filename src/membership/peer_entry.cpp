#include "membership/peer_entry.hpp"

#include <array>

namespace dragonflyroad {

std::string_view to_code(peer_state state)
{
    constexpr std::array<std::string_view, 5> codes{"alive", "one_way", "suspect", "lost", "left"};
    return codes.at(static_cast<std::size_t>(state));
}

bool peer_entry::received_since(time_point time) const
{
    return (this->last_received && *this->last_received >= time) ||
           (this->last_received_by_others && *this->last_received_by_others >= time);
}

peer_state evaluate_state(const peer_entry& peer, time_point now, const peer_settings& settings,
                          duration refutation_time)
{
    if (peer.node_descriptor.leaving) {
        return peer_state::left;
    }
    const time_point recent = now - settings.alive_window;
    if (peer.last_two_way_proof && *peer.last_two_way_proof >= recent) {
        return peer_state::alive;
    }
    const bool unresponsive =
        peer.missed_pings >= settings.unresponsive_after_misses && peer.first_missed_at <= recent;
    if (peer.received_since(recent)) {
        return unresponsive ? peer_state::one_way : peer_state::alive;
    }
    if (!unresponsive && !peer.suspicion_received) {
        return peer_state::alive;
    }
    // Another node received a message from the peer after the link of this node had failed. Nodes
    // with a working link detect a failure of the peer, so this evidence need not be as recent as a
    // two-way proof.
    const bool received_by_others = peer.last_received_by_others &&
                                    *peer.last_received_by_others > peer.first_missed_at &&
                                    *peer.last_received_by_others >= now - settings.indirect_window;
    if (unresponsive && received_by_others && !peer.suspicion_received) {
        return peer_state::one_way;
    }
    if (peer.state == peer_state::lost) {
        return peer_state::lost;
    }
    const bool is_over = peer.state == peer_state::suspect && now - peer.since >= refutation_time;
    return is_over ? peer_state::lost : peer_state::suspect;
}

} // namespace dragonflyroad
