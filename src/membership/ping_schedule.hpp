#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "membership/peer_entry.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace dragonflyroad {

/// Peers that need pings out of turn.
struct ping_candidates {
    /// With unanswered pings, but not lost.
    std::vector<const peer_entry*> doubted;
    std::vector<const peer_entry*> lost;
};

/// Whom to ping next: the witnesses in turn, peers with unanswered pings, and all others in
/// shuffled order, so that each peer is pinged once in every pass.
class ping_schedule {
public:
    /// The peers of the next round, `count` at most and without repetition.
    std::vector<node_id> next_round(const std::map<node_id, peer_entry>& peers,
                                    const ping_candidates& candidates,
                                    const std::vector<node_id>& witnesses, std::size_t count,
                                    random_engine& random);

    /// Pings a peer soon, because another node asked about it.
    void request(const node_id& node);

private:
    const peer_entry* next_shuffled(const std::map<node_id, peer_entry>& peers,
                                    random_engine& random);
    void refill(const std::map<node_id, peer_entry>& peers, random_engine& random);

    std::vector<node_id> order;
    std::deque<node_id> requested;
    std::size_t next_witness = 0;
};

} // namespace dragonflyroad
