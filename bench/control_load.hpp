#pragma once

#include "bench/membership_fleet.hpp"

namespace dragonflyroad::bench {

/// Runs a fleet for `time` under the rate of change of the target scale: 32,000 configuration
/// changes and 13,000 restarts a day, and 0.37 upstream records per second. That is the rate at
/// which one node receives them: the fleet announces 8.6/s and sends each to 90 of 2,100 nodes.
void run_under_changes(membership_fleet& fleet, duration time);

} // namespace dragonflyroad::bench
