#include "dispatch/idle_patience.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Part of the shortest idle time seen to fail that is still trusted: the upstream may have dropped
/// the connection long before it was used.
constexpr int trusted_divisor = 2;

/// How long a drop is remembered. Such spells last for some seconds; a new connection costs 1 ms.
constexpr std::chrono::seconds memory_time{20};

} // namespace

void idle_patience::note_dropped(time_point idle_since, time_point now)
{
    const auto idle_for = milliseconds_between(idle_since, now);
    const bool is_known = now < this->forget_at;
    this->shortest_dropped = is_known ? std::min(this->shortest_dropped, idle_for) : idle_for;
    this->forget_at = now + memory_time;
}

bool idle_patience::may_reuse(time_point idle_since, time_point now) const
{
    return now >= this->forget_at ||
           milliseconds_between(idle_since, now) < this->shortest_dropped / trusted_divisor;
}

} // namespace dragonflyroad
