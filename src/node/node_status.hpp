#pragma once

#include "node/blackboard.hpp"
#include "node/config_controller.hpp"
#include "node/config_peers.hpp"
#include "node/fleet_rights.hpp"
#include "node/membership_controller.hpp"
#include "node/routed_upstreams.hpp"

#include <string>

namespace dragonflyroad {

/// What GET /v1/status shows.
struct status_sources {
    const node_id& node;
    const data_centre& centre;
    const blackboard& board;
    config_controller& config;
    const config_peers& spread;
    const membership_controller& members;
    const fleet_rights& rights;
    const routed_upstreams& upstreams;
};

/// The body of GET /v1/status as JSON; the operators' command reads it.
std::string describe_node(const status_sources& from, time_point now);

} // namespace dragonflyroad
