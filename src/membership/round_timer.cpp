#include "membership/round_timer.hpp"

#include <algorithm>

namespace dragonflyroad {

void round_timer::request_extra_round(time_point now)
{
    const duration period = 2 * this->interval;
    const time_point earliest = std::max(this->theoretical_arrival, now);
    if (this->due > now && earliest - now <= period) {
        this->theoretical_arrival = earliest + period;
        this->due = now;
    }
}

} // namespace dragonflyroad
