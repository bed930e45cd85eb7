#include "dispatch/offer_hold.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// One round trip between data centres plus the reply time of slow VMs.
constexpr std::chrono::milliseconds shortest_hold{12};

/// Less than half of the 250 ms for which the node beside an upstream holds a slot for an offer.
constexpr std::chrono::milliseconds longest_hold{100};

constexpr int search_cost_divisor = 4;

} // namespace

time_point offer_hold_deadline(time_point first_offer_at, std::chrono::milliseconds cost)
{
    return first_offer_at + std::clamp(cost / search_cost_divisor, shortest_hold, longest_hold);
}

} // namespace dragonflyroad
