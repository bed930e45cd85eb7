#include "membership/round_timer.hpp"

#include <algorithm>

namespace dragonflyroad {

void round_timer::request(time_point now)
{
    const duration period = 2 * this->interval;
    const time_point earliest = std::max(this->credit, now);
    if (this->due > now && earliest - now <= period) {
        this->credit = earliest + period;
        this->due = now;
    }
}

} // namespace dragonflyroad
