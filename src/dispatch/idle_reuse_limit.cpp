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

} // namespace

void idle_reuse_limit::record_stale_connection(time_point idle_since, time_point now)
{
    const auto idle_for = milliseconds_between(idle_since, now);
    const bool is_known = now < this->forget_at;
    this->shortest_dropped_idle =
        is_known ? std::min(this->shortest_dropped_idle, idle_for) : idle_for;
    this->forget_at = now + drop_retention;
}

bool idle_reuse_limit::may_reuse(time_point idle_since, time_point now) const
{
    return now >= this->forget_at || milliseconds_between(idle_since, now) <
                                         this->shortest_dropped_idle / allowed_idle_divisor;
}

} // namespace dragonflyroad
