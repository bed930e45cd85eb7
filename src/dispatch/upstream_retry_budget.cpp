#include "dispatch/upstream_retry_budget.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Share of the limit that this budget uses. The rest is left for calls made by a repeated run:
/// they count as repeats at the called service, but this budget sees them as first requests. Where
/// a quarter of a service's requests are calls made by repeatable runs, they use up to a quarter of
/// the limit.
constexpr double used_share = 0.75;

} // namespace

void upstream_retry_budget::remove_before(time_point start)
{
    for (std::deque<time_point>* times : {&this->first_requests, &this->retries}) {
        while (!times->empty() && times->front() < start) {
            times->pop_front();
        }
    }
}

void upstream_retry_budget::record_first_request(time_point now)
{
    this->remove_before(now - this->limit.window);
    this->first_requests.push_back(now);
}

void upstream_retry_budget::record_retry(time_point now)
{
    this->retries.push_back(now);
}

bool upstream_retry_budget::has_room(std::size_t upstreams, time_point now)
{
    this->remove_before(now - this->limit.window);
    const double slack =
        this->limit.slack / static_cast<double>(std::max<std::size_t>(upstreams, 1));
    const double allowed =
        used_share * (this->limit.ratio * static_cast<double>(this->first_requests.size()) + slack);
    return static_cast<double>(this->retries.size()) + 1 <= allowed;
}

} // namespace dragonflyroad
