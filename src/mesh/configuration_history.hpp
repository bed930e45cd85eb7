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

/// The last few configurations in the form in which nodes pass them on. Most changes touch a few
/// routes, so a follower that knows one of these gets the difference only.
class configuration_history {
public:
    /// Adds what this node learned from the store.
    void add(const routing_table& table);

    /// What brings a node from its revision to the newest one: a patch or the whole, encoded once
    /// for all followers of that revision. Empty when the node is up to date.
    std::string update_from(revision_number known) const;

    /// Applies an update and adds the outcome; nothing when it does not fit, see last_failure().
    std::optional<routing_table> apply(const std::string& update, const std::string& source);

private:
    void add(revision_number revision, nlohmann::json document);
    const nlohmann::json* find(revision_number revision) const;

    std::deque<std::pair<revision_number, nlohmann::json>> recent;
    /// Updates to the newest revision by the revision they start from.
    mutable std::map<revision_number, std::string> updates;
};

} // namespace dragonflyroad
