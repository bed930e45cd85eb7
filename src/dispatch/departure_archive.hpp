#pragma once

#include "core/ids.hpp"
#include "dispatch/departed_lifetimes.hpp"
#include "dispatch/store_position.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// What this node knows of the upstreams that have left, by the node beside them, and how much of
/// it the store holds. Answers two faults: the node that saw a departure ends before the store has
/// the record, and the store comes back from a copy without it. Every node that knows of a
/// departure can therefore tell what the store lacks and write it. Not synchronised.
class departure_archive {
public:
    /// Adds departures at the upstream beside a node. What is known is never forgotten.
    void learn(const node_id& node, const departed_lifetimes& departures);

    /// The store holds these departures at this revision; 0 when it holds no record of the node.
    void record_stored(const node_id& node, const departed_lifetimes& stored,
                       store_revision revision);

    /// The store holds these departures, at a revision that this node has not been told.
    void record_stored(const node_id& node, const departed_lifetimes& stored);

    /// The store has come back from an older copy, so nothing is known of what it holds. Until it
    /// is told otherwise, it holds no record of any node.
    void begin_era();

    const departed_lifetimes& known(const node_id& node) const;

    /// Whether the store holds the departure of this start of the upstream or of a later one.
    bool is_stored(const node_id& node, const std::string& id, std::int64_t started_at) const;

    /// Whether the store lacks departures that are known.
    bool lacks(const node_id& node) const;
    std::vector<node_id> lacking() const;

    /// The revision on which a write of the node's record depends. Nothing when it must be read.
    std::optional<store_revision> revision(const node_id& node) const;

private:
    struct record {
        departed_lifetimes known;
        departed_lifetimes stored;
        std::optional<store_revision> revision = 0;
    };

    std::map<node_id, record> records;
};

} // namespace dragonflyroad
