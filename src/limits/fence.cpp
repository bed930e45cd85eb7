#include "limits/fence.hpp"

#include <algorithm>

namespace dragonflyroad {

void fence::extend(time_point as_of)
{
    this->until = std::max(this->until, as_of + fence_time);
}

} // namespace dragonflyroad
