#pragma once

#include "bench/membership_fleet.hpp"

namespace dragonflyroad::bench {

/// Runs a fleet for `time` under the rate of change of the target scale: 32,000 configuration
/// changes and 13,000 restarts a day, and upstream records at the rate that reaches one node (8.6/s
/// in the fleet, each sent to 90 of 2,100 nodes, are 0.37/s per node).
void run_under_changes(membership_fleet& fleet, duration time);

} // namespace dragonflyroad::bench
