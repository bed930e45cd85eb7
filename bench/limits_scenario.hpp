#pragma once

#include "bench/record.hpp"
#include "config/model.hpp"
#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// The parts of a deployment's shape (design page, section 1) that matter for the limits.
struct limits_shape {
    std::string deployment;
    std::size_t nodes = 0;
    std::size_t slots_per_upstream = 0;
    duration delay{};
    std::vector<organisation> organisations;
};

const std::vector<limits_shape>& limits_shapes();

/// The result of one seed of the scenario, for this project's decisions or for the baseline.
struct limits_result {
    /// Requests admitted above rate x time + burst in the worst window of any organisation.
    double over_admitted = 0;
    std::uint64_t in_rate = 0;
    std::uint64_t in_rate_refused = 0;
    /// Ratio of served to offered requests of the worst-served organisation within its rate.
    double worst_share = 1;
};

struct limits_run {
    limits_result own;
    limits_result baseline;
};

/// Runs the scenario for `seeds` seeds, or returns the cached results of an earlier call with the
/// same arguments, because three benchmarks read different measures of it.
///
/// The traffic is 40 s of Poisson arrivals: every organisation at 90% of its rate, except one at 8
/// times its rate (burst: one second of the rate). A client stays with one node until that node
/// fails it. Faults: a node is lost and replaced, a node is paused for 6 s, a node is cut off in
/// one direction, one data centre receives nothing from another, the store is down for 15 s, clocks
/// drift by up to 0.1%. The upstreams can serve 1.1 times the sum of all rates. The baseline gives
/// each node a fixed part of each rate and burst, and uses one first-in-first-out queue.
std::vector<limits_run> run_limits_scenario(const limits_shape& shape, std::uint64_t first_seed,
                                            std::uint64_t seeds);

/// Runs 20 seeds per deployment. Returns for each deployment the record of the worst seed of this
/// project, followed by that of the baseline.
std::vector<record> worst_of_seeds(const record& form, std::uint64_t first_seed,
                                   double (*measure)(const limits_result&));

} // namespace dragonflyroad::bench
