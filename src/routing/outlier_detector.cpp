#include "routing/outlier_detector.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr duration reference_memory = 30s;
constexpr duration recent_memory = 2s;
constexpr duration suspicion_memory = 10s;
// Repeats of one fingerprint within one to two generations count once.
constexpr duration fingerprint_generation = 1s;
// Slow responses of an upstream are no evidence for this long after it was announced.
constexpr duration cold_time = 15s;
constexpr int cold_factor = 10;
constexpr double largest_suspicion = 60;
// Evidence from pooled connections alone stays below the ejection limit: it may be the fault of the
// connections, which a fresh one shows.
constexpr double largest_pooled_suspicion = 0.6 * suspicion_to_eject;
// Above this, interrupted episodes count together.
constexpr double persistent_suspicion = 22;
constexpr std::size_t least_requests = 3;
constexpr double samples_needed = 50;
// Share of bad requests at a faulty upstream; a tenfold slowdown and a stall reach more.
constexpr double faulty_bad_share = 0.6;
// A sound service may be luckier than it seems from few samples.
constexpr double least_bad_share = 0.01;
constexpr double least_tail_share = 0.002;
// Scheduling and network noise make shorter latencies meaningless.
constexpr duration least_slow = 5ms;

double fade_over(duration elapsed, duration memory)
{
    return std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(memory.count()));
}

struct ratios {
    double bad = 0;
    double good = 0;
};

// Log-likelihood ratios of one bad and one good request.
ratios to_ratios(double bad_share)
{
    const double sound = std::clamp(bad_share, least_bad_share, 0.9);
    const double faulty = std::clamp(std::max(faulty_bad_share, 1.5 * sound), 0.0, 0.95);
    return {std::log(faulty / sound), std::log((1 - faulty) / (1 - sound))};
}

std::uint64_t to_bit(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash & 63U);
}

} // namespace

void outlier_detector::clear(const std::shared_ptr<upstream_entry>& upstream, time_point now)
{
    upstream->evidence_from_ns.store(now.time_since_epoch().count());
    this->memories[upstream] = memory{};
}

void outlier_detector::add_to_reference(const outcome_counts& counts)
{
    for (std::size_t bin = 0; bin < latency_bins; ++bin) {
        if (counts.latencies[bin] != 0) {
            this->reference.add(bin, counts.latencies[bin]);
        }
    }
    this->long_good += counts.fast;
    this->long_bad += counts.slow + counts.failed;
}

outlier_detector::yardstick outlier_detector::make_yardstick(const service_view& view,
                                                             bool is_service_slow, time_point now)
{
    const duration elapsed = now - this->last_assessed;
    this->last_assessed = now;
    const double fade = fade_over(elapsed, reference_memory);
    this->reference.fade(fade);
    this->long_good *= fade;
    this->long_bad *= fade;
    std::vector<double> shares;
    const double recent_fade = fade_over(elapsed, recent_memory);
    const double suspicion_fade = fade_over(elapsed, suspicion_memory);
    for (const auto& upstream : view.upstreams) {
        memory& known = this->memories[upstream];
        known.recent_good *= recent_fade;
        known.recent_bad *= recent_fade;
        known.suspicion *= suspicion_fade;
        known.pooled_suspicion *= suspicion_fade;
        if (known.recent_good + known.recent_bad >= 1) {
            shares.push_back(known.recent_bad / (known.recent_good + known.recent_bad));
        }
    }
    yardstick stick;
    stick.is_service_slow = is_service_slow;
    if (this->reference.total() >= samples_needed) {
        const duration median = this->reference.quantile(0.5);
        stick.slow_above = std::max(
            least_slow, std::clamp(2 * this->reference.quantile(0.95), 3 * median, 8 * median));
        // A few long requests that occupy all slots make those behind them slow as well; such an
        // episode ends when they do.
        const duration p95 = this->reference.quantile(0.95);
        const duration p99 = this->reference.quantile(0.99);
        const double tail = static_cast<double>(p99.count()) /
                            static_cast<double>(std::max<std::int64_t>(p95.count(), 1));
        stick.least_span =
            std::max(stick.slow_above,
                     duration{static_cast<std::int64_t>(static_cast<double>(p99.count()) * tail)});
        view.reference->median_ns.store(median.count());
        view.reference->slow_above_ns.store(stick.slow_above.count());
    }
    const double all = this->long_good + this->long_bad;
    stick.bad_share = all > 0 ? this->long_bad / all : 0;
    if (shares.size() >= 3) {
        // The median upstream: a minority of faulty ones does not move it.
        const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
        std::nth_element(shares.begin(), middle, shares.end());
        stick.bad_share = std::max(stick.bad_share, *middle);
    }
    return stick;
}

std::uint32_t outlier_detector::add_counts(memory& known, const outcome_counts& counts,
                                           bool is_cold, const yardstick& stick, time_point now)
{
    if (now - known.generation >= fingerprint_generation) {
        known.bad_fingerprints[1] = std::exchange(known.bad_fingerprints[0], 0);
        known.bad_organisations[1] = std::exchange(known.bad_organisations[0], 0);
        known.all_organisations[1] = std::exchange(known.all_organisations[0], 0);
        known.generation = now;
    }
    const std::uint64_t seen = known.bad_fingerprints[0] | known.bad_fingerprints[1];
    const auto distinct =
        static_cast<std::uint32_t>(std::popcount(counts.bad_fingerprints & ~seen));
    known.bad_fingerprints[0] |= counts.bad_fingerprints;
    known.bad_organisations[0] |= counts.bad_organisations;
    known.all_organisations[0] |= counts.all_organisations;

    const std::uint32_t slow = is_cold ? 0 : counts.slow;
    const std::uint32_t bad = std::min(slow + counts.failed, distinct);
    const std::uint32_t pooled = std::min(counts.failed_reused, distinct - bad);
    const ratios ratio = to_ratios(stick.bad_share);
    known.suspicion = std::clamp(known.suspicion + bad * ratio.bad + counts.fast * ratio.good, 0.0,
                                 largest_suspicion);
    known.pooled_suspicion =
        std::clamp(known.pooled_suspicion + pooled * ratio.bad + counts.fast * ratio.good, 0.0,
                   largest_pooled_suspicion);
    known.recent_good += counts.fast;
    known.recent_bad += slow + counts.failed;
    return bad + pooled;
}

outlier_detector::waiting_evidence outlier_detector::weigh_waiting(const upstream_entry& upstream,
                                                                   bool is_cold,
                                                                   const yardstick& stick,
                                                                   time_point now)
{
    waiting_evidence found;
    found.earliest = now;
    if (stick.slow_above <= duration::zero()) {
        return found;
    }
    upstream.statistics.collect_waiting(this->waiting);
    const duration limit = is_cold ? cold_factor * stick.slow_above : stick.slow_above;
    for (const waiting_request& request : this->waiting) {
        const duration age = now - request.began;
        const bool is_evidence = request.began >= upstream.evidence_from();
        found.verifying += is_evidence && age <= limit && !request.mark.reused_connection ? 1 : 0;
        if (age <= limit || !is_evidence ||
            std::find(found.fingerprints.begin(), found.fingerprints.end(),
                      request.mark.fingerprint) != found.fingerprints.end()) {
            continue;
        }
        // A sound upstream has a request this old as often as the service's tail says.
        const double tail = std::max({this->reference.share_above(age), least_tail_share,
                                      stick.bad_share > 0.5 ? stick.bad_share : 0.0});
        (request.mark.reused_connection ? found.pooled : found.fresh) += -std::log(tail);
        found.fingerprints.push_back(request.mark.fingerprint);
        found.overdue_fresh += request.mark.reused_connection ? 0 : 1;
        found.organisations |= to_bit(request.mark.organisation);
        found.earliest = std::min(found.earliest, request.began);
        found.latest = std::max(found.latest, request.began);
    }
    return found;
}

upstream_assessment outlier_detector::assess_one(const std::shared_ptr<upstream_entry>& upstream,
                                                 const yardstick& stick, time_point now)
{
    memory& known = this->memories[upstream];
    const bool is_cold = now - upstream->cold_since() < cold_time;
    const outcome_counts counts = upstream->statistics.harvest();
    const std::uint32_t bad = this->add_counts(known, counts, is_cold, stick, now);
    const waiting_evidence overdue = this->weigh_waiting(*upstream, is_cold, stick, now);
    if (stick.is_service_slow) {
        known.suspicion = std::min(known.suspicion, suspicion_to_reduce);
    }

    upstream_assessment result;
    result.upstream = upstream;
    const double pooled =
        std::min(known.pooled_suspicion + overdue.pooled, largest_pooled_suspicion);
    result.suspicion = std::min(known.suspicion + overdue.fresh + pooled, largest_suspicion);
    result.fresh_suspicion = std::min(known.suspicion + overdue.fresh, largest_suspicion);
    result.good = counts.fast;
    result.bad = bad;
    result.overdue = static_cast<std::uint32_t>(overdue.fingerprints.size());
    result.recent_good = known.recent_good;
    result.has_shed = counts.shed != 0;

    if (result.suspicion < 1) {
        known.is_suspected = false;
    }
    else if (!known.is_suspected) {
        known.is_suspected = true;
        known.suspected_since = now;
        // A request that has completed began at most a tick and a slow latency ago.
        known.bad_since = std::min(overdue.earliest, now);
    }
    // An ordinary response ends an episode of slow ones, though not the suspicion.
    known.episode_since = std::max(known.bad_since, upstream->statistics.last_good_start());
    std::uint64_t fingerprints = known.bad_fingerprints[0] | known.bad_fingerprints[1];
    for (const std::uint64_t fingerprint : overdue.fingerprints) {
        fingerprints |= to_bit(fingerprint);
    }
    const std::size_t distinct =
        std::max<std::size_t>(std::popcount(fingerprints), overdue.fingerprints.size());
    const std::uint64_t organisations =
        known.bad_organisations[0] | known.bad_organisations[1] | overdue.organisations;
    const std::uint64_t all = known.all_organisations[0] | known.all_organisations[1];
    const bool has_several = std::popcount(all | organisations) > 1;
    if (bad > 0) {
        known.last_bad = std::max(known.last_bad, now - stick.slow_above);
    }
    known.last_bad = std::max(known.last_bad, overdue.latest);
    // A slow upstream still gives an ordinary response now and then.
    const bool is_persistent = result.suspicion >= persistent_suspicion &&
                               now - known.suspected_since >= 4 * stick.least_span;
    result.is_conclusive =
        distinct >= least_requests && (std::popcount(organisations) >= 2 || !has_several) &&
        result.fresh_suspicion > 0 &&
        (known.last_bad - known.episode_since >= stick.least_span || is_persistent);
    result.episode_since = known.episode_since;
    result.bad_since = known.is_suspected ? known.bad_since : now;
    result.verifying = overdue.verifying;
    result.overdue_fresh = overdue.overdue_fresh;
    if (counts.fast + counts.slow == 0) {
        upstream->statistics.relax_smoothed_latency(upstream->reference->median());
    }
    // Slow responses of upstreams in use belong to the service's own distribution: leaving out the
    // suspected ones would hide its tail. A faulty upstream is out after a few requests.
    const ejection_step step = upstream->step.load();
    const bool is_in_use = step == ejection_step::healthy || step == ejection_step::reduced;
    if ((is_in_use && !is_cold) || stick.is_service_slow ||
        this->reference.total() < samples_needed) {
        this->add_to_reference(counts);
    }
    return result;
}

std::vector<upstream_assessment> outlier_detector::assess(const service_view& view,
                                                          bool is_service_slow, time_point now)
{
    const yardstick stick = this->make_yardstick(view, is_service_slow, now);
    std::vector<upstream_assessment> results;
    results.reserve(view.upstreams.size());
    for (const auto& upstream : view.upstreams) {
        results.push_back(this->assess_one(upstream, stick, now));
    }
    if (this->memories.size() > view.upstreams.size()) {
        std::unordered_map<std::shared_ptr<upstream_entry>, memory> kept;
        for (const auto& upstream : view.upstreams) {
            kept[upstream] = this->memories[upstream];
        }
        this->memories = std::move(kept);
    }
    return results;
}

} // namespace dragonflyroad
