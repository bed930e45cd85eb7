#pragma once

#include "bench/model/false_ejections.hpp"
#include "bench/model/fleet_model.hpp"

#include <doctest/doctest.h>

namespace dragonflyroad::bench {

/// The share of announced upstreams that the node has in rotation, that is, neither ejected nor in
/// probation. All upstreams count the same.
inline double rotation_share(const fleet_model& fleet, std::size_t node)
{
    double announced = 0;
    double in_rotation = 0;
    for (std::size_t upstream = 0; upstream < fleet.upstream_count(); ++upstream) {
        if (fleet.is_announced(upstream)) {
            const ejection_step step = fleet.node(node).step(upstream);
            announced += 1;
            in_rotation += step == ejection_step::healthy || step == ejection_step::reduced ? 1 : 0;
        }
    }
    return announced > 0 ? in_rotation / announced : 1;
}

/// A scenario with one fault of the given upstream, which starts after six seconds.
inline scenario single_fault_scenario(std::uint64_t seed, upstream_fault fault,
                                      std::size_t upstream)
{
    scenario plan;
    plan.shape = service_shapes()[seed % service_shapes().size()];
    plan.seed = seed;
    scheduled_event change;
    change.at = fleet_model::start() + std::chrono::seconds{6};
    change.upstream = upstream;
    change.fault = fault;
    plan.schedule.push_back(change);
    return plan;
}

} // namespace dragonflyroad::bench
