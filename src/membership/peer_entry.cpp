#include "membership/peer_entry.hpp"

#include <array>

namespace dragonflyroad {

std::string_view to_code(peer_state state)
{
    constexpr std::array<std::string_view, 5> codes{"alive", "one_way", "suspect", "lost", "left"};
    return codes.at(static_cast<std::size_t>(state));
}

bool peer_entry::heard_since(time_point time) const
{
    return (this->received && *this->received >= time) ||
           (this->indirect && *this->indirect >= time);
}

peer_state judge(const peer_entry& peer, time_point now, const peer_settings& settings,
                 duration refutation_time)
{
    if (peer.card.leaving) {
        return peer_state::left;
    }
    const time_point recent = now - settings.alive_window;
    if (peer.two_way && *peer.two_way >= recent) {
        return peer_state::alive;
    }
    const bool doubted = peer.misses >= settings.doubt_after_misses && peer.first_miss <= recent;
    if (peer.heard_since(recent)) {
        return doubted ? peer_state::one_way : peer_state::alive;
    }
    if (!doubted && !peer.reported) {
        return peer_state::alive;
    }
    // Another node heard the peer after the own link had failed. Those with a working link notice
    // when the peer stops, so this need not be confirmed all the time.
    const bool heard_by_others = peer.indirect && *peer.indirect > peer.first_miss &&
                                 *peer.indirect >= now - settings.indirect_window;
    if (doubted && heard_by_others && !peer.reported) {
        return peer_state::one_way;
    }
    if (peer.state == peer_state::lost) {
        return peer_state::lost;
    }
    const bool is_over = peer.state == peer_state::suspect && now - peer.since >= refutation_time;
    return is_over ? peer_state::lost : peer_state::suspect;
}

} // namespace dragonflyroad
