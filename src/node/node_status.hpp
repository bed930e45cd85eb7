#pragma once

#include "node/config_controller.hpp"
#include "node/config_replicator.hpp"
#include "node/fleet_quota.hpp"
#include "node/membership_controller.hpp"
#include "node/routed_upstreams.hpp"
#include "node/shared_node_state.hpp"

#include <string>

namespace dragonflyroad {

/// Sources of the data in GET /v1/status.
struct status_sources {
    const node_id& node;
    const data_centre& centre;
    const shared_node_state& shared_state;
    config_controller& config;
    const config_replicator& replicator;
    const membership_controller& members;
    const fleet_quota& quota;
    const routed_upstreams& upstreams;
};

/// The body of GET /v1/status as JSON, which the operators' command parses.
std::string describe_node(const status_sources& sources, time_point now);

} // namespace dragonflyroad
