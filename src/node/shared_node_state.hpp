#pragma once

#include "config/model.hpp"
#include "core/snapshot_cell.hpp"

#include <atomic>

namespace dragonflyroad {

/// Lifecycle phase of the node. A leaving node still serves clients that have not moved to another
/// node.
enum class node_phase { starting, serving, leaving, stopping };

/// State that controllers write and the request path reads. Each field has a single writer.
struct shared_node_state {
    /// Written by the configuration controller.
    snapshot_cell<configuration> config;
    /// Written by the node at start and stop.
    std::atomic<node_phase> phase = node_phase::starting;
};

} // namespace dragonflyroad
