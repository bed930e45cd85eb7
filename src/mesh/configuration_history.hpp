#pragma once

#include "core/ids.hpp"
#include "mesh/routing_table.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {

/// The last few configurations in the form in which nodes pass them on. Most changes touch a few
/// routes, so a follower that knows one of these gets the difference only.
class configuration_history {
public:
    void add(const routing_table& table);

    /// What brings a node from its revision to the newest one: a patch, the whole, or null when it
    /// is up to date.
    nlohmann::json update_from(revision_number known) const;

    /// Applies an update; nothing when it does not fit, see last_failure().
    std::optional<routing_table> apply(const nlohmann::json& update,
                                       const std::string& source) const;

private:
    std::deque<std::pair<revision_number, nlohmann::json>> recent;
};

} // namespace dragonflyroad
