#include "core/retry_backoff.hpp"

#include <algorithm>

namespace dragonflyroad {

void retry_backoff::record_failure(time_point now)
{
    this->next_at = now + this->delay;
    this->delay = std::min(this->delay * 2, this->max_delay);
}

void retry_backoff::record_success()
{
    this->next_at = {};
    this->delay = this->initial_delay;
}

} // namespace dragonflyroad
