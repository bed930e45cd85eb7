#pragma once

#include "adapters/settings.hpp"
#include "core/ids.hpp"

#include <string>

namespace dragonflyroad {

/// Prints one line for each node that the nodes of the settings know: its identifier, state and
/// revision. Returns the program's exit code; 1 when a node did not answer.
int run_status(const operator_settings& settings);

/// Waits until every known node has at least this revision, 11 s at most (the target for a change
/// to be in force everywhere), and names the nodes that have not. A change stays accepted whatever
/// this returns.
int wait_for_revision(const operator_settings& settings, revision_number revision);

/// Prints the evidence that a node holds about a request. Asks every known node.
int run_explain(const operator_settings& settings, const std::string& request_id);

/// Confirms to the fleet that a node is lost and will not come back.
int run_confirm_lost(const operator_settings& settings, const std::string& node);

} // namespace dragonflyroad
