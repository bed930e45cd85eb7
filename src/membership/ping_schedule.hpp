#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "membership/peer_entry.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace dragonflyroad {

/// Peers that are pinged more often than the shuffled order provides.
struct ping_candidates {
    /// Peers with unacknowledged pings that are neither lost nor left.
    std::vector<const peer_entry*> with_missed_pings;
    std::vector<const peer_entry*> lost;
};

/// Selects the peers to ping: the witnesses in turn, requested peers, peers with unacknowledged
/// pings, occasionally a lost one, and all others in shuffled order, so that each peer is pinged
/// once per pass.
class ping_schedule {
public:
    /// Returns the peers of the next round, at most `count` and without duplicates.
    std::vector<node_id> next_round(const std::map<node_id, peer_entry>& peers,
                                    const ping_candidates& candidates,
                                    const std::vector<node_id>& witnesses, std::size_t count,
                                    random_engine& random);

    /// Schedules a ping of a peer in one of the next rounds: for an indirect probe, or to tell it
    /// of a suspicion.
    void request_ping(const node_id& node);

private:
    const peer_entry* next_shuffled(const std::map<node_id, peer_entry>& peers,
                                    random_engine& random);
    void refill(const std::map<node_id, peer_entry>& peers, random_engine& random);

    std::vector<node_id> shuffled_nodes;
    std::deque<node_id> requested;
    std::size_t next_witness = 0;
};

} // namespace dragonflyroad
