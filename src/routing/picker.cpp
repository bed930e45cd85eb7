#include "routing/picker.hpp"

#include "routing/concurrency_limit.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double reduced_weight = 0.25;
// Probes are sent through the preference in pick(), so the random choice needs hardly any weight
// here.
constexpr double probation_weight = 0.01;
constexpr double initial_weight = 0.1;
// Random draws before pick() scans the list from a random position.
constexpr int max_draws = 6;
// Repeatable requests are used as probes first; after this delay unsafe ones are too, so that a
// service that gets only unsafe requests can end a probation.
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

bool is_verification(const upstream_entry& upstream, const pick_request& request)
{
    return request.is_repeatable && upstream.requested_verifications.load(relaxed) > 0;
}

bool is_eligible(const upstream_entry& upstream, const pick_request& request, time_point now)
{
    if (!is_usable(upstream, request)) {
        return false;
    }
    if (upstream.step.load(relaxed) == ejection_step::probation) {
        const time_point due{duration{upstream.next_probe_ns.load(relaxed)}};
        return now >= due + (request.is_repeatable ? duration::zero() : unsafe_probe_delay);
    }
    return upstream.in_flight.load(relaxed) <
           (is_verification(upstream, request) ? max_concurrency_limit(upstream.slots.load(relaxed))
                                               : upstream.limit.load(relaxed));
}

// Whether the upstream waits for this request as a verification or probe.
bool is_preferred(const upstream_entry& upstream, const pick_request& request, time_point now)
{
    return is_eligible(upstream, request, now) &&
           (is_verification(upstream, request) ||
            upstream.step.load(relaxed) == ejection_step::probation);
}

// Expected waiting time, in arbitrary units. An upstream without samples has the service's median
// latency.
double expected_wait(const upstream_entry& upstream, time_point now)
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
    const duration elapsed = now - upstream.slow_start_since();
    if (elapsed >= slow_start) {
        return weight;
    }
    const double share =
        static_cast<double>(elapsed.count()) / static_cast<double>(duration{slow_start}.count());
    return weight * (initial_weight + (1 - initial_weight) * std::max(share, 0.0));
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
    for (int draw = 0; draw < max_draws && size > 0; ++draw) {
        const auto& candidate = view.upstreams[uniform_index(random, size)];
        if (&candidate == first || !is_eligible(*candidate, request, now)) {
            continue;
        }
        if (first != nullptr) {
            return expected_wait(*candidate, now) < expected_wait(**first, now) ? candidate
                                                                                : *first;
        }
        first = &candidate;
    }
    if (first != nullptr) {
        return *first;
    }
    // Few upstreams are eligible: scan all of them, so that none stays idle while requests wait.
    const std::size_t start = size == 0 ? 0 : uniform_index(random, size);
    for (std::size_t step = 0; step < size; ++step) {
        const auto& candidate = view.upstreams[(start + step) % size];
        if (is_eligible(*candidate, request, now)) {
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
