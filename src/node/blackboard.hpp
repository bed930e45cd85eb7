#pragma once

#include "config/model.hpp"
#include "core/snapshot_cell.hpp"

#include <atomic>

namespace dragonflyroad {

/// Whether the node takes requests. A node that is leaving still serves the clients that have not
/// moved to another node yet.
enum class node_phase { starting, serving, leaving, stopping };

/// The state that controllers write and the request path reads. Each field has one writer.
struct blackboard {
    /// Written by the configuration controller.
    snapshot_cell<configuration> config;
    /// Written by the node itself, at start and stop.
    std::atomic<node_phase> phase = node_phase::starting;
};

} // namespace dragonflyroad
