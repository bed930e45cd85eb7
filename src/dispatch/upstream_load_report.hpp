#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflyroad {

/// The load of an upstream as the node beside it sees it. Carried by replies that are sent anyway,
/// never asked for on its own.
struct upstream_load_report {
    /// Runs and offers that hold a slot.
    std::uint32_t busy = 0;
    /// Reservations that wait for a slot.
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Mean time for which a run holds a slot.
    std::chrono::milliseconds typical_run{0};
};

} // namespace dragonflyroad
