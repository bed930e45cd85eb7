#pragma once

#include "adapters/settings.hpp"
#include "core/ids.hpp"

#include <string>

namespace dragonflyroad {

/// Prints identifier, state and revision of each node that is known to the nodes in the settings,
/// one node a line. Returns the program's exit code: 1 if a node did not respond.
int run_status(const operator_settings& settings);

/// Waits until every known node has at least this revision, for at most 11 s, which is the target
/// for a change to be in force everywhere. Prints the nodes that do not have it by then. Returns
/// the program's exit code; a failure does not revert the change.
int wait_for_revision(const operator_settings& settings, revision_number revision);

/// Prints the evidence about a request from the first known node that has any.
int run_explain(const operator_settings& settings, const std::string& request_id);

/// Confirms to the fleet that a node is lost and will not come back.
int run_confirm_lost(const operator_settings& settings, const std::string& node);

} // namespace dragonflyroad
