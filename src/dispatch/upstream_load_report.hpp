#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflyroad {

/// The load of an upstream as the node beside it sees it. Carried by replies that are sent anyway,
/// never asked for on its own.
struct upstream_load_report {
    /// Runs and offers that hold a slot.
    std::uint32_t busy = 0;
    /// Runs that the waiting reservations amount to. A request reserves at several upstreams, so
    /// most of the reservations end elsewhere and are not counted.
    std::uint32_t waiting = 0;
    /// 0 in a report of a node that knows no upstream or does not report load.
    std::uint32_t slots = 0;
    /// Mean time for which a run holds a slot.
    std::chrono::milliseconds typical_run{0};

    bool operator==(const upstream_load_report&) const = default;
};

} // namespace dragonflyroad
