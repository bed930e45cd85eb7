#include "dispatch/door_admission.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Declines in a row after which the service counts as full for that rank. With a quarter of the
/// upstreams free, eight declines have a probability of 0.75^8 = 10%.
constexpr std::size_t min_declines = 8;

/// How long declines count without a new one. A typical run ends in this time.
constexpr milliseconds decline_lifetime{300};

/// A request is admitted at this interval in spite of the declines.
constexpr milliseconds trial_interval{100};

/// Shortest time after which a caller returns: less would be a busy loop.
constexpr milliseconds min_retry_after{100};

/// Callers honour a Retry-After of at most this part of the time that they have left.
constexpr int max_retry_after_divisor = 3;

/// Part by which return times vary, so that callers refused together do not return together.
constexpr double return_spread = 0.5;

} // namespace

void door_admission::record_decline(const service_name& service, const work_rank& rank,
                                    milliseconds wait, time_point now)
{
    declined_work& known = this->declined[service][rank];
    const bool is_first = known.in_a_row == 0 || now > known.last_at + decline_lifetime;
    known.in_a_row = is_first ? 1 : known.in_a_row + 1;
    known.shortest_wait = is_first ? wait : std::min(known.shortest_wait, wait);
    known.last_at = now;
}

void door_admission::record_accept(const service_name& service, const work_rank& rank)
{
    const auto found = this->declined.find(service);
    if (found == this->declined.end()) {
        return;
    }
    // Room for this work is room for more urgent work.
    std::erase_if(found->second, [&](const auto& item) { return !(rank < item.first); });
}

std::optional<door_rejection> door_admission::decide(const arrival& request, time_point now)
{
    if (!request.rank.is_new_request) {
        return std::nullopt;
    }
    const auto found = this->declined.find(request.service);
    if (found == this->declined.end()) {
        return std::nullopt;
    }
    for (auto& [rank, known] : found->second) {
        if (request.rank < rank) {
            break;
        }
        if (known.in_a_row < min_declines || now > known.last_at + decline_lifetime ||
            !rank.is_new_request || now + known.shortest_wait <= request.latest_start) {
            continue;
        }
        if (now >= known.next_trial_at) {
            known.next_trial_at = now + trial_interval;
            return std::nullopt;
        }
        return door_rejection{known.shortest_wait, milliseconds_between(known.last_at, now),
                              known.in_a_row};
    }
    return std::nullopt;
}

bool is_sample_conclusive(std::size_t declines)
{
    return declines >= 2 * min_declines;
}

milliseconds choose_retry_after(const refused_request& request, random_engine& random)
{
    const milliseconds longest =
        std::max(request.until_deadline / max_retry_after_divisor, min_retry_after);
    milliseconds earliest = min_retry_after;
    if (!request.is_service_wide_rejection) {
        earliest =
            std::clamp(request.shortest_wait.value_or(min_retry_after), min_retry_after, longest);
    }
    const bool can_be_on_time = earliest + request.expected_run <= request.until_objective;
    const double spread = can_be_on_time || request.is_service_wide_rejection
                              ? return_spread * static_cast<double>(earliest.count())
                              : static_cast<double>((longest - earliest).count());
    const auto extra = static_cast<std::int64_t>(spread * uniform(random));
    return std::min(earliest + milliseconds{extra}, longest);
}

} // namespace dragonflyroad
