#pragma once

#include <chrono>
#include <cstddef>

namespace dragonflyroad {

/// Reservations made at the start of a round, and each time that there is no acceptable offer yet.
/// Two choices remove most of the load imbalance; each reservation costs two small messages.
inline constexpr std::size_t initial_reservations = 2;
inline constexpr std::size_t additional_reservations = 2;

/// Interval at which more VMs are asked while there is no acceptable offer: a few round trips
/// between data centres.
inline constexpr std::chrono::milliseconds reserve_interval{20};

} // namespace dragonflyroad
