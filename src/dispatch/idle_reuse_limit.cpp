#include "dispatch/idle_reuse_limit.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Reuse is allowed up to the shortest idle time that was seen to fail, divided by this: the
/// upstream may have closed that connection long before its reuse.
constexpr int allowed_idle_divisor = 2;

/// How long reuse stays limited after a connection was found closed. Upstreams close idle
/// connections early for some seconds at a time, and opening a new connection costs only 1 ms.
constexpr std::chrono::seconds drop_retention{20};

/// Shortest idle time after which a reset is taken for that of an idle connection. Upstreams that
/// forget idle connections do so after a few hundred milliseconds at the earliest.
constexpr std::chrono::milliseconds min_stale_idle{200};

/// Resets within this time of a reset on a connection in use have the same cause.
constexpr std::chrono::milliseconds same_fault_time{1'500};

} // namespace

bool idle_reuse_limit::may_be_stale(time_point idle_since, time_point now)
{
    return idle_since != time_point{} && now >= idle_since + min_stale_idle;
}

void idle_reuse_limit::record_fault(time_point now)
{
    if (now < this->learned_at + same_fault_time) {
        this->forget_at = {};
    }
}

void idle_reuse_limit::record_stale_connection(time_point idle_since, time_point now)
{
    const auto idle_for = milliseconds_between(idle_since, now);
    const bool is_known = now < this->forget_at;
    this->shortest_dropped_idle =
        is_known ? std::min(this->shortest_dropped_idle, idle_for) : idle_for;
    this->forget_at = now + drop_retention;
    this->learned_at = now;
}

bool idle_reuse_limit::may_reuse(time_point idle_since, time_point now) const
{
    return now >= this->forget_at || milliseconds_between(idle_since, now) <
                                         this->shortest_dropped_idle / allowed_idle_divisor;
}

} // namespace dragonflyroad
