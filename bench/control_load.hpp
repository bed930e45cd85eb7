#pragma once

#include "bench/membership_fleet.hpp"

namespace dragonflyroad::bench {

/// Steps a fleet for `time` under the changes of the target scale: 32,000 configuration changes and
/// 13,000 restarts a day, and as many upstream records as reach one node (8.6/s, each to 90 of
/// 2,100 nodes, is 0.37/s for each).
void run_under_changes(membership_fleet& fleet, duration time);

} // namespace dragonflyroad::bench
