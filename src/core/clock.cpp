#include "core/clock.hpp"

#include <ctime>

namespace dragonflyroad {

boot_clock::time_point boot_clock::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec}};
}

std::chrono::milliseconds milliseconds_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

std::chrono::milliseconds to_milliseconds(time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

} // namespace dragonflyroad
