#pragma once

#include <chrono>

namespace dragonflyroad {

using duration = std::chrono::nanoseconds;

/// A monotonic clock that includes the time during which the VM was suspended (CLOCK_BOOTTIME).
/// std::chrono::steady_clock stops while a VM is suspended, so a resumed node would still use
/// leases that its peers have already reclaimed.
struct boot_clock {
    using duration = dragonflyroad::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// Reads the clock. Only programs and adapters call this; decision code receives the time as an
    /// argument.
    static time_point now();
};

using time_point = boot_clock::time_point;

/// The time between two points in whole milliseconds; negative when `to` is earlier.
std::chrono::milliseconds milliseconds_between(time_point from, time_point to);

/// Converts a time point to whole milliseconds since boot, for messages and log lines.
std::chrono::milliseconds to_milliseconds(time_point time);

} // namespace dragonflyroad
