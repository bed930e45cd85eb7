#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// A ping that can still be acknowledged.
struct pending_ping {
    /// Empty for a seed whose name is not known yet.
    node_id node;
    time_point sent_at;
    /// Whether the ping was acknowledged, already counted as missed, or must not be counted.
    bool resolved = false;
};

/// Recently sent pings by nonce. A ping is kept after its first acknowledgement, because an
/// indirect probe is answered with a second acknowledgement of the same ping.
class pending_pings {
public:
    void add(std::uint64_t nonce, const node_id& node, time_point now);

    /// Returns the acknowledged ping, if known, and excludes it from the missed pings.
    std::optional<pending_ping> acknowledge(std::uint64_t nonce);

    /// Returns pings sent at `sent_before` or earlier that became overdue since the last call, and
    /// marks them as resolved.
    std::vector<pending_ping> resolve_overdue(time_point sent_before);

    /// Excludes all pings sent so far from the missed pings, after a pause of this process.
    void resolve_all();

    /// Removes pings sent before `time`.
    void remove_sent_before(time_point time);

private:
    std::map<std::uint64_t, pending_ping> by_nonce;
};

} // namespace dragonflyroad
