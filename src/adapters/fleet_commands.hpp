#pragma once

#include "adapters/settings.hpp"
#include "core/ids.hpp"

#include <string>

namespace dragonflyroad {

/// Prints identifier, state, revision and admin address of each node that is known to the nodes in
/// the settings, one node a line. Returns the program's exit code: 1 if no node responded, or if a
/// node that is neither lost nor left did not respond.
int run_status(const operator_settings& settings);

/// Waits until every known node has at least this revision, except lost nodes and those that have
/// left. Stops after about 11 s, the target for a change to be in force everywhere, and prints the
/// nodes that do not have it by then. Returns the program's exit code; a failure does not revert
/// the change.
int wait_for_revision(const operator_settings& settings, revision_number revision);

/// Prints the record of a request's decisions from the first known node that has one.
int run_explain(const operator_settings& settings, const std::string& request_id);

/// Confirms to the fleet that a node is lost and will not come back.
int run_confirm_lost(const operator_settings& settings, const std::string& node);

} // namespace dragonflyroad
