#pragma once

#include <chrono>

namespace dragonflyroad {

using duration = std::chrono::nanoseconds;

/// A monotonic clock that also counts time during which the VM was suspended (CLOCK_BOOTTIME).
/// std::chrono::steady_clock stops while a VM is suspended, which would keep the leases of a paused
/// node open after its peers have reclaimed them.
struct boot_clock {
    using duration = dragonflyroad::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// Reads the clock. Only programs and adapters call this; decisions take a time_point argument.
    static time_point now();
};

using time_point = boot_clock::time_point;

/// The whole milliseconds from one time to another; negative when the second is earlier.
std::chrono::milliseconds milliseconds_between(time_point from, time_point to);

/// Converts a time point to whole milliseconds since boot, for messages and log lines.
std::chrono::milliseconds to_milliseconds(time_point time);

} // namespace dragonflyroad
