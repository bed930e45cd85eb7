#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// A ping that may still be acknowledged.
struct pending_ping {
    /// Empty for a seed whose name is not known yet.
    node_id node;
    time_point sent_at;
    /// Whether its absence was already held against the peer.
    bool counted = false;
};

/// The pings of the last seconds by nonce. A ping stays known after its first acknowledgement:
/// other nodes answer a question with a second one for the same ping.
class pending_pings {
public:
    void add(std::uint64_t nonce, const node_id& node, time_point now);

    /// The ping that an acknowledgement answers; its absence is no longer counted.
    std::optional<pending_ping> acknowledge(std::uint64_t nonce);

    /// Pings sent at `sent_before` or earlier that became overdue since the last call.
    std::vector<pending_ping> take_overdue(time_point sent_before);

    /// No ping sent so far is held against its peer, because this node itself was paused.
    void excuse_all();

    /// Forgets pings sent before `time`.
    void forget(time_point time);

private:
    std::map<std::uint64_t, pending_ping> by_nonce;
};

} // namespace dragonflyroad
