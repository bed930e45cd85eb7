#include "core/retry_backoff.hpp"

#include <algorithm>

namespace dragonflyroad {

void retry_backoff::note_failure(time_point now)
{
    this->next_at = now + this->pause;
    this->pause = std::min(this->pause * 2, this->longest_pause);
}

void retry_backoff::note_success()
{
    this->next_at = {};
    this->pause = this->first_pause;
}

} // namespace dragonflyroad
