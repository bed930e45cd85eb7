#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// Selects the source from which a node receives configuration changes. In each data centre one
/// node watches the store and the others follow that node, so the number of calls to the store
/// grows with the number of data centres and not with the number of nodes. The watching node is the
/// one with the lowest hash of its name. A node that is stale or does not respond is skipped for a
/// while and the next one in hash order is followed instead. A watching node that cannot reach the
/// store follows a random other node of the fleet. Not synchronised.
class change_source_selector {
public:
    explicit change_source_selector(node_id node) : self(std::move(node)) {}

    /// The node to follow, or nothing when this node is to watch the store itself. `centre_nodes`
    /// are the live nodes of this node's data centre, itself included; `all_nodes` are those of the
    /// fleet.
    std::optional<node_id> choose(const std::vector<node_id>& centre_nodes,
                                  const std::vector<node_id>& all_nodes, random_engine& random,
                                  time_point now);

    /// Records that the node did not respond or that its configuration was stale; choose() skips it
    /// for a while. The next choose() returns the store unless the store has failed recently, so
    /// that the delays of several stale nodes in a row do not add up.
    void record_stale_node(const node_id& node, time_point now);
    /// Records that a call to the store failed; for a second, choose() prefers other nodes to the
    /// store.
    void record_store_failure(time_point now);
    void record_store_success() { this->store_failed_until = {}; }

private:
    bool is_skipped(const node_id& node, time_point now) const;

    node_id self;
    std::map<node_id, time_point> stale_until;
    time_point store_failed_until{};
    bool prefers_store_next = false;
};

} // namespace dragonflyroad
