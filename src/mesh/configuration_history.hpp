#pragma once

#include "core/ids.hpp"
#include "mesh/routing_table.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {

/// The most recent configurations as JSON, from which updates for followers are made. Most changes
/// affect a few routes, so a follower whose revision is among them receives only a patch.
class configuration_history {
public:
    /// Adds a configuration that was read from the store.
    void add(const routing_table& table);

    /// The update from a follower's revision to the newest one, as CBOR: a patch, or the whole
    /// configuration when the follower's revision is not in the history. Followers with the same
    /// revision share one encoded update. Empty when the follower is up to date.
    std::string update_from(revision_number follower_revision) const;

    /// Applies an update from another node and adds the resulting configuration. Returns nothing
    /// when the update is invalid or its base is not in the history; the reason is in
    /// last_failure().
    std::optional<routing_table> apply(const std::string& update, const std::string& source);

private:
    void add(revision_number revision, nlohmann::json document);
    const nlohmann::json* find(revision_number revision) const;

    std::deque<std::pair<revision_number, nlohmann::json>> recent;
    /// Encoded updates to the newest revision, by the revision that they start from.
    mutable std::map<revision_number, std::string> updates;
};

} // namespace dragonflyroad
