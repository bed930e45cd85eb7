#include "dispatch/repeat_budget.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Part of the bound that is used. Calls that a repeated run makes count as repeats at the service
/// called and are not known here: where a quarter of a service's requests are such calls of
/// repeatable runs, they take up to a quarter of the bound.
constexpr double used_part = 0.75;

} // namespace

void repeat_budget::forget_before(time_point start)
{
    for (std::deque<time_point>* times : {&this->firsts, &this->repeats}) {
        while (!times->empty() && times->front() < start) {
            times->pop_front();
        }
    }
}

void repeat_budget::note_first(time_point now)
{
    this->forget_before(now - this->limit.window);
    this->firsts.push_back(now);
}

void repeat_budget::note_repeat(time_point now)
{
    this->repeats.push_back(now);
}

bool repeat_budget::has_room(std::size_t upstreams, time_point now)
{
    this->forget_before(now - this->limit.window);
    const double slack =
        this->limit.slack / static_cast<double>(std::max<std::size_t>(upstreams, 1));
    const double allowed =
        used_part * (this->limit.ratio * static_cast<double>(this->firsts.size()) + slack);
    return static_cast<double>(this->repeats.size()) + 1 <= allowed;
}

} // namespace dragonflyroad
