#include "routing/picker.hpp"

#include "routing/concurrency_limit.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double reduced_weight = 0.25;
// Probes are sent by preference; other choices need not find the upstream.
constexpr double probation_weight = 0.01;
constexpr double coldest_weight = 0.1;
// Random draws before the list is searched from a random place.
constexpr int draws = 6;
// A service that only gets unsafe requests must be able to end a probation too; where there are
// repeatable ones, they come first.
constexpr duration unsafe_probe_delay = std::chrono::seconds{1};

bool is_excluded(const upstream_entry& upstream, const pick_request& request)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream.id) !=
           request.excluded.end();
}

bool is_usable(const upstream_entry& upstream, const pick_request& request)
{
    const ejection_step step = upstream.step.load(relaxed);
    return upstream.state.load(relaxed) == upstream_state::ready &&
           step != ejection_step::ejected && !is_excluded(upstream, request);
}

bool is_verified(const upstream_entry& upstream, const pick_request& request)
{
    return request.is_repeatable && upstream.verifications.load(relaxed) > 0;
}

bool can_take(const upstream_entry& upstream, const pick_request& request, time_point now)
{
    if (!is_usable(upstream, request)) {
        return false;
    }
    if (upstream.step.load(relaxed) == ejection_step::probation) {
        const time_point due{duration{upstream.next_probe_ns.load(relaxed)}};
        return now >= due + (request.is_repeatable ? duration::zero() : unsafe_probe_delay);
    }
    return upstream.in_flight.load(relaxed) < (is_verified(upstream, request)
                                                   ? largest_limit(upstream.slots.load(relaxed))
                                                   : upstream.limit.load(relaxed));
}

// Whether the upstream waits for this request to verify or probe it.
bool is_preferred(const upstream_entry& upstream, const pick_request& request, time_point now)
{
    return can_take(upstream, request, now) &&
           (is_verified(upstream, request) ||
            upstream.step.load(relaxed) == ejection_step::probation);
}

// Expected waiting, in arbitrary units. An upstream without samples counts as the median one.
double cost(const upstream_entry& upstream, time_point now)
{
    const duration median = upstream.reference->median();
    const duration smoothed = upstream.statistics.smoothed_latency();
    const duration latency = smoothed > duration::zero() ? smoothed : median;
    const double weight = routing_weight(upstream, now) * upstream.slots.load(relaxed);
    return (static_cast<double>(upstream.in_flight.load(relaxed)) + 1) *
           static_cast<double>(std::max<std::int64_t>(latency.count(), 1)) /
           std::max(weight, 0.001);
}

} // namespace

double routing_weight(const upstream_entry& upstream, time_point now)
{
    double weight = 1;
    switch (upstream.step.load(relaxed)) {
    case ejection_step::healthy:
        break;
    case ejection_step::reduced:
        weight = reduced_weight;
        break;
    case ejection_step::ejected:
        return 0;
    case ejection_step::probation:
        return probation_weight;
    }
    const duration warm = now - upstream.ramp_since();
    if (warm >= slow_start) {
        return weight;
    }
    const double share =
        static_cast<double>(warm.count()) / static_cast<double>(duration{slow_start}.count());
    return weight * (coldest_weight + (1 - coldest_weight) * std::max(share, 0.0));
}

std::shared_ptr<upstream_entry> pick(const service_view& view, const pick_request& request,
                                     random_engine& random, time_point now)
{
    const std::size_t size = view.upstreams.size();
    const std::size_t preferred = view.reference->preferred.load(relaxed);
    if (preferred < size && is_preferred(*view.upstreams[preferred], request, now)) {
        return view.upstreams[preferred];
    }
    const std::shared_ptr<upstream_entry>* first = nullptr;
    for (int draw = 0; draw < draws && size > 0; ++draw) {
        const auto& candidate = view.upstreams[uniform_index(random, size)];
        if (&candidate == first || !can_take(*candidate, request, now)) {
            continue;
        }
        if (first != nullptr) {
            return cost(*candidate, now) < cost(**first, now) ? candidate : *first;
        }
        first = &candidate;
    }
    if (first != nullptr) {
        return *first;
    }
    // Few are eligible: search all of them, so that none is overlooked while work waits.
    const std::size_t start = size == 0 ? 0 : uniform_index(random, size);
    for (std::size_t step = 0; step < size; ++step) {
        const auto& candidate = view.upstreams[(start + step) % size];
        if (can_take(*candidate, request, now)) {
            return candidate;
        }
    }
    return nullptr;
}

bool has_usable_upstream(const service_view& view, const pick_request& request)
{
    return std::any_of(view.upstreams.begin(), view.upstreams.end(),
                       [&](const auto& upstream) { return is_usable(*upstream, request); });
}

} // namespace dragonflyroad
