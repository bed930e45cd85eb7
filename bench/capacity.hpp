#pragma once

#include "bench/record.hpp"

#include <cstdint>
#include <vector>

namespace dragonflyroad::bench {

// Measurements up to the target scale, which take too long for CI. The benchmark `capacity` runs
// them all.

/// Bytes per organisation, key and route of a configuration.
std::vector<record> config_slopes(std::uint64_t seed);
std::vector<record> config_in_force_time_at_target(std::uint64_t seed);
std::vector<record> control_bytes_at_target(std::uint64_t seed);
std::vector<record> control_cpu_at_target(std::uint64_t seed);
std::vector<record> routing_cost_at_target(std::uint64_t seed);

/// Bytes of state per peer and per upstream.
std::vector<record> state_memory(std::uint64_t seed);

/// Bytes per claim, bytes of the stored ledger per seat, and bytes of the stored head per change.
std::vector<record> state_size(std::uint64_t seed);

} // namespace dragonflyroad::bench
