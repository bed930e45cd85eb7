#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// Selects the source from which a node receives configuration changes. The nodes are ordered by a
/// hash of their names. The first node of the fleet watches the store, the first node of each other
/// data centre follows it, and the rest follow the first node of their data centre. The number of
/// calls to the store therefore does not grow with the fleet, and one stream of changes crosses to
/// each data centre. A node that is stale or does not respond is skipped for a while and the next
/// one is followed instead. Nodes follow only earlier ones, so they never follow each other in a
/// circle. A watching node that cannot reach the store follows a random other node. Not
/// synchronised.
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
    /// Makes the next choose() return the store unless the store has failed recently.
    void prefer_store() { this->prefers_store_next = true; }
    /// Records that a call to the store failed; for a second, choose() prefers other nodes to the
    /// store.
    void record_store_failure(time_point now);
    void record_store_success() { this->store_failed_until = {}; }

private:
    std::optional<node_id> first_usable(const std::vector<node_id>& nodes, time_point now) const;
    bool is_skipped(const node_id& node, time_point now) const;

    node_id self;
    std::map<node_id, time_point> stale_until;
    time_point store_failed_until{};
    bool prefers_store_next = false;
};

} // namespace dragonflyroad
