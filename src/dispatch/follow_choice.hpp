#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// Chooses where a node learns of changes. In each data centre one node watches the store and the
/// others follow it, so that the store's calls grow with the data centres and not with the nodes.
/// Who that is follows from the nodes' names alone. A node that gives no news is passed over for a
/// while, and the next in order takes its place; a node that cannot reach the store follows any
/// other one. Not synchronised.
class follow_choice {
public:
    explicit follow_choice(node_id node) : self(std::move(node)) {}

    /// The node to follow, or nothing for the store itself. `centre_nodes` are the live nodes of
    /// the own data centre, this one included; `all_nodes` those of the fleet.
    std::optional<node_id> choose(const std::vector<node_id>& centre_nodes,
                                  const std::vector<node_id>& all_nodes, random_engine& random,
                                  time_point now);

    /// The node did not answer, or what it knew was old. The store itself is asked next, so that a
    /// series of such nodes does not add up.
    void note_stale(const node_id& node, time_point now);
    /// A call to the store failed.
    void note_store_failure(time_point now);
    void note_store_success() { this->store_failed_until = {}; }

private:
    bool is_passed_over(const node_id& node, time_point now) const;

    node_id self;
    std::map<node_id, time_point> stale_until;
    time_point store_failed_until{};
    bool asks_store_next = false;
};

} // namespace dragonflyroad
