#pragma once

#include <unistd.h>

/// The first of 40 ports for this process, outside the ephemeral range. Tests of several work trees
/// run side by side on one machine, so fixed ports collide.
inline int first_test_port()
{
    constexpr int lowest = 21'000;
    constexpr int ports_per_process = 40;
    constexpr int ranges = 290;
    return lowest + static_cast<int>(::getpid()) % ranges * ports_per_process;
}
