#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace dragonflyroad {

/// Request of a peer to probe a third node on its behalf.
struct indirect_probe {
    node_id requester;
    /// Nonce of the ping that carried the request.
    std::uint64_t acked_nonce = 0;
    incarnation target = 0;
    time_point expires;
};

/// Indirect probes of nodes from which this node has not received a message recently. A probe is
/// answered when its target acknowledges a ping of this node. Bounded: the oldest is dropped.
class pending_indirect_probes {
public:
    void add(indirect_probe probe);
    /// Removes and returns the probes of an incarnation that have not expired.
    std::vector<indirect_probe> take_for(incarnation target, time_point now);

private:
    std::deque<indirect_probe> waiting;
};

} // namespace dragonflyroad
