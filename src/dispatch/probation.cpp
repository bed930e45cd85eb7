#include "dispatch/probation.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Pause before the first trial; it doubles with each trial that fails. The longest pause leaves an
/// upstream that works again without requests for less than two seconds, even with a failed trial
/// in between.
constexpr milliseconds first_pause{150};
constexpr milliseconds longest_pause{600};

/// Rejections in a row that put an upstream on probation. An upstream that turns away 40% of its
/// requests has four in a row with a probability of 0.4^4 = 2.6%.
constexpr int min_rejections = 4;

/// How long after the pause only repeatable requests are used as trials.
constexpr milliseconds repeatable_only_time{500};

/// A failure within this time, or within this part of the expected run, is fast. Upstreams that
/// fail gray answer in about a millisecond, and a request that fails at a healthy one has been
/// worked on.
constexpr milliseconds fast_failure_time{20};
constexpr int fast_failure_divisor = 20;

} // namespace

bool is_fast_failure(milliseconds elapsed, milliseconds expected_run)
{
    return elapsed < std::max(fast_failure_time, expected_run / fast_failure_divisor);
}

void probation::record_fast_failure(time_point now)
{
    const bool is_trial = std::exchange(this->is_trial_open, false);
    if (!this->active) {
        this->pause = first_pause;
    }
    else if (is_trial) {
        this->pause = std::min(this->pause * 2, longest_pause);
    }
    this->active = true;
    this->is_caused_by_rejections = false;
    this->next_trial_at = now + this->pause;
}

void probation::record_rejection(time_point now)
{
    ++this->rejections_in_a_row;
    if (this->active || this->rejections_in_a_row >= min_rejections) {
        const bool was_broken = this->active && !this->is_caused_by_rejections;
        this->record_fast_failure(now);
        this->is_caused_by_rejections = !was_broken;
    }
}

void probation::excuse_rejections()
{
    if (this->active && this->is_caused_by_rejections) {
        this->record_success(true);
    }
}

void probation::record_success(bool is_trial)
{
    this->rejections_in_a_row = 0;
    if (is_trial) {
        this->active = false;
        this->is_trial_open = false;
    }
}

bool probation::admits(bool is_repeatable, time_point now) const
{
    const time_point from =
        is_repeatable ? this->next_trial_at : this->next_trial_at + repeatable_only_time;
    return !this->is_trial_open && now >= from;
}

milliseconds probation::time_to_next_trial(time_point now) const
{
    return std::max(milliseconds_between(now, this->next_trial_at), milliseconds{0});
}

} // namespace dragonflyroad
