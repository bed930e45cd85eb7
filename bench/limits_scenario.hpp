#pragma once

#include "bench/record.hpp"
#include "config/model.hpp"
#include "core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyroad::bench {

/// The properties of a deployment that matter for the limits.
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
    /// The most requests of one organisation that were admitted above rate x time + burst in any
    /// window.
    double over_admitted = 0;
    std::uint64_t in_rate = 0;
    std::uint64_t in_rate_refused = 0;
    /// Lowest ratio of served to offered requests of an organisation that stays within its rate.
    double worst_share = 1;
};

struct limits_run {
    limits_result own;
    limits_result baseline;
};

/// Runs the scenario for at least `seeds` seeds, in batches of five. Three benchmarks read
/// different measures of it, so the results for a deployment and first seed are cached.
///
/// The traffic is 40 s of Poisson arrivals: every organisation sends 90% of its rate, except one
/// that sends 8 times its rate. The burst is one second of the rate. A client stays with one node
/// until the node is down, is paused or answers `unproved`; one request in 500 reconnects at
/// random. Faults: one node is lost and replaced, one is lost for good, one is paused for 6 to 9 s,
/// one cannot send to the others for 3 to 12 s, one data centre receives nothing from another for 5
/// to 11 s, the store is down for 15 s, and clocks drift by up to 0.1%. The upstreams can serve 1.1
/// times the sum of all rates. The baseline gives each node a fixed part of each rate and burst,
/// and uses one first-in-first-out queue.
std::vector<limits_run> run_limits_scenario(const limits_shape& shape, std::uint64_t first_seed,
                                            std::uint64_t seeds);

/// Runs 20 seeds per deployment. Returns two records per deployment, copies of `form` with the
/// worst value over the seeds and its seed: one of this project, then one of the baseline. Their
/// worst seeds may differ.
std::vector<record> worst_of_seeds(const record& form, std::uint64_t first_seed,
                                   double (*measure)(const limits_result&));

} // namespace dragonflyroad::bench
