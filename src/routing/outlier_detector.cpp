#include "routing/outlier_detector.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr duration reference_time_constant = 30s;
constexpr duration recent_time_constant = 2s;
constexpr duration suspicion_time_constant = 10s;
// Repeats of one fingerprint count once within one to two generations.
constexpr duration fingerprint_generation = 1s;
// A cold upstream's slow responses are no evidence for this long after it was announced.
constexpr duration cold_period = 15s;
constexpr int cold_latency_factor = 10;
constexpr double max_suspicion = 60;
// Evidence from pooled connections alone stays below the ejection threshold: the connections may be
// at fault. A request on a fresh connection shows whether they are.
constexpr double max_pooled_suspicion = 0.6 * suspicion_to_eject;
// From this suspicion, bad requests count as one episode although ordinary responses came between
// them.
constexpr double persistent_suspicion = 22;
constexpr std::size_t min_requests = 3;
constexpr double samples_needed = 50;
// Assumed share of bad requests at a faulty upstream. A tenfold slowdown and a stall both cause a
// larger share.
constexpr double faulty_bad_share = 0.6;
// Lower bounds for the shares measured at the service: few samples can show a lower share than the
// true one.
constexpr double min_bad_share = 0.01;
constexpr double min_tail_share = 0.002;
// Lower limits would mistake scheduling and network noise for slowness.
constexpr duration min_slow_latency = 5ms;

double decay_factor(duration elapsed, duration time_constant)
{
    return std::exp(-static_cast<double>(elapsed.count()) /
                    static_cast<double>(time_constant.count()));
}

struct likelihood_ratios {
    double bad = 0;
    double good = 0;
};

// Log-likelihood ratios of one bad and one good request.
likelihood_ratios to_likelihood_ratios(double bad_share)
{
    const double healthy_share = std::clamp(bad_share, min_bad_share, 0.9);
    const double faulty_share =
        std::clamp(std::max(faulty_bad_share, 1.5 * healthy_share), 0.0, 0.95);
    return {std::log(faulty_share / healthy_share),
            std::log((1 - faulty_share) / (1 - healthy_share))};
}

std::uint64_t to_bit(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash & 63U);
}

} // namespace

void outlier_detector::clear(const std::shared_ptr<upstream_entry>& upstream, time_point now)
{
    upstream->evidence_since_ns.store(now.time_since_epoch().count());
    this->histories[upstream] = upstream_history{};
}

void outlier_detector::add_to_reference(const outcome_counts& counts)
{
    for (std::size_t bin = 0; bin < latency_bins; ++bin) {
        if (counts.latencies[bin] != 0) {
            this->reference.add(bin, counts.latencies[bin]);
        }
    }
    this->reference_good += counts.fast;
    this->reference_bad += counts.slow + counts.failed;
}

outlier_detector::service_baseline
outlier_detector::update_baseline(const service_view& view, bool is_service_slow, time_point now)
{
    const duration elapsed = now - this->last_assessed;
    this->last_assessed = now;
    const double decay = decay_factor(elapsed, reference_time_constant);
    this->reference.decay(decay);
    this->reference_good *= decay;
    this->reference_bad *= decay;
    std::vector<double> shares;
    const double recent_decay = decay_factor(elapsed, recent_time_constant);
    const double suspicion_decay = decay_factor(elapsed, suspicion_time_constant);
    for (const auto& upstream : view.upstreams) {
        upstream_history& history = this->histories[upstream];
        history.recent_good *= recent_decay;
        history.recent_bad *= recent_decay;
        history.suspicion *= suspicion_decay;
        history.pooled_suspicion *= suspicion_decay;
        if (history.recent_good + history.recent_bad >= 1) {
            shares.push_back(history.recent_bad / (history.recent_good + history.recent_bad));
        }
    }
    service_baseline baseline;
    baseline.is_service_slow = is_service_slow;
    if (this->reference.total() >= samples_needed) {
        const duration median = this->reference.quantile(0.5);
        baseline.slow_above =
            std::max(min_slow_latency,
                     std::clamp(2 * this->reference.quantile(0.95), 3 * median, 8 * median));
        // A few long requests that occupy all slots slow down the requests queued behind them,
        // until the long requests end. Conclusive evidence has to last longer than that.
        const duration p95 = this->reference.quantile(0.95);
        const duration p99 = this->reference.quantile(0.99);
        const double tail = static_cast<double>(p99.count()) /
                            static_cast<double>(std::max<std::int64_t>(p95.count(), 1));
        baseline.min_span =
            std::max(baseline.slow_above,
                     duration{static_cast<std::int64_t>(static_cast<double>(p99.count()) * tail)});
        view.reference->median_ns.store(median.count());
        view.reference->slow_above_ns.store(baseline.slow_above.count());
    }
    const double all = this->reference_good + this->reference_bad;
    baseline.bad_share = all > 0 ? this->reference_bad / all : 0;
    if (shares.size() >= 3) {
        // The share of the median upstream: a minority of faulty ones does not change it.
        const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
        std::nth_element(shares.begin(), middle, shares.end());
        baseline.bad_share = std::max(baseline.bad_share, *middle);
    }
    return baseline;
}

std::uint32_t outlier_detector::add_counts(upstream_history& history, const outcome_counts& counts,
                                           bool is_cold, const service_baseline& baseline,
                                           time_point now)
{
    if (now - history.generation >= fingerprint_generation) {
        history.bad_fingerprints[1] = std::exchange(history.bad_fingerprints[0], 0);
        history.bad_organisations[1] = std::exchange(history.bad_organisations[0], 0);
        history.all_organisations[1] = std::exchange(history.all_organisations[0], 0);
        history.generation = now;
    }
    const std::uint64_t seen = history.bad_fingerprints[0] | history.bad_fingerprints[1];
    const auto distinct =
        static_cast<std::uint32_t>(std::popcount(counts.bad_fingerprints & ~seen));
    history.bad_fingerprints[0] |= counts.bad_fingerprints;
    history.bad_organisations[0] |= counts.bad_organisations;
    history.all_organisations[0] |= counts.all_organisations;

    const std::uint32_t slow = is_cold ? 0 : counts.slow;
    const std::uint32_t bad = std::min(slow + counts.failed, distinct);
    const std::uint32_t pooled = std::min(counts.failed_reused, distinct - bad);
    const likelihood_ratios ratio = to_likelihood_ratios(baseline.bad_share);
    history.suspicion = std::clamp(history.suspicion + bad * ratio.bad + counts.fast * ratio.good,
                                   0.0, max_suspicion);
    history.pooled_suspicion =
        std::clamp(history.pooled_suspicion + pooled * ratio.bad + counts.fast * ratio.good, 0.0,
                   max_pooled_suspicion);
    history.recent_good += counts.fast;
    history.recent_bad += slow + counts.failed;
    return bad + pooled;
}

outlier_detector::overdue_evidence outlier_detector::find_overdue(const upstream_entry& upstream,
                                                                  bool is_cold,
                                                                  const service_baseline& baseline,
                                                                  time_point now)
{
    overdue_evidence found;
    found.earliest = now;
    if (baseline.slow_above <= duration::zero()) {
        return found;
    }
    upstream.statistics.collect_unanswered(this->unanswered);
    const duration limit =
        is_cold ? cold_latency_factor * baseline.slow_above : baseline.slow_above;
    for (const unanswered_request& request : this->unanswered) {
        const duration age = now - request.began;
        const bool is_evidence = request.began >= upstream.evidence_since();
        found.verifying += is_evidence && age <= limit && !request.mark.reused_connection ? 1 : 0;
        if (age <= limit || !is_evidence ||
            std::find(found.fingerprints.begin(), found.fingerprints.end(),
                      request.mark.fingerprint) != found.fingerprints.end()) {
            continue;
        }
        // At a healthy upstream, the probability of a request this old is the tail of the service's
        // distribution.
        const double tail = std::max({this->reference.share_above(age), min_tail_share,
                                      baseline.bad_share > 0.5 ? baseline.bad_share : 0.0});
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
                                                 const service_baseline& baseline, time_point now)
{
    upstream_history& history = this->histories[upstream];
    const bool is_cold = now - upstream->cold_since() < cold_period;
    const outcome_counts counts = upstream->statistics.collect_and_reset();
    const std::uint32_t bad = this->add_counts(history, counts, is_cold, baseline, now);
    const overdue_evidence overdue = this->find_overdue(*upstream, is_cold, baseline, now);
    if (baseline.is_service_slow) {
        history.suspicion = std::min(history.suspicion, suspicion_to_reduce);
    }

    upstream_assessment result;
    result.upstream = upstream;
    const double pooled = std::min(history.pooled_suspicion + overdue.pooled, max_pooled_suspicion);
    result.suspicion = std::min(history.suspicion + overdue.fresh + pooled, max_suspicion);
    result.fresh_suspicion = std::min(history.suspicion + overdue.fresh, max_suspicion);
    result.good = counts.fast;
    result.bad = bad;
    result.overdue = static_cast<std::uint32_t>(overdue.fingerprints.size());
    result.recent_good = history.recent_good;
    result.has_shed = counts.shed != 0;

    if (result.suspicion < 1) {
        history.is_suspected = false;
    }
    else if (!history.is_suspected) {
        history.is_suspected = true;
        history.suspected_since = now;
        // The start times of completed bad requests are not kept, so `now` stands for them.
        history.bad_since = std::min(overdue.earliest, now);
    }
    // A response of ordinary latency ends an episode of bad requests, but does not clear the
    // suspicion.
    history.episode_since = std::max(history.bad_since, upstream->statistics.last_good_start());
    std::uint64_t fingerprints = history.bad_fingerprints[0] | history.bad_fingerprints[1];
    for (const std::uint64_t fingerprint : overdue.fingerprints) {
        fingerprints |= to_bit(fingerprint);
    }
    const std::size_t distinct =
        std::max<std::size_t>(std::popcount(fingerprints), overdue.fingerprints.size());
    const std::uint64_t organisations =
        history.bad_organisations[0] | history.bad_organisations[1] | overdue.organisations;
    const std::uint64_t all = history.all_organisations[0] | history.all_organisations[1];
    const bool has_several_organisations = std::popcount(all | organisations) > 1;
    if (bad > 0) {
        history.last_bad = std::max(history.last_bad, now - baseline.slow_above);
    }
    history.last_bad = std::max(history.last_bad, overdue.latest);
    // A slow upstream still gives an ordinary response now and then, so a high suspicion that
    // persists needs no uninterrupted episode.
    const bool is_persistent = result.suspicion >= persistent_suspicion &&
                               now - history.suspected_since >= 4 * baseline.min_span;
    result.is_conclusive =
        distinct >= min_requests &&
        (std::popcount(organisations) >= 2 || !has_several_organisations) &&
        result.fresh_suspicion > 0 &&
        (history.last_bad - history.episode_since >= baseline.min_span || is_persistent);
    result.episode_since = history.episode_since;
    result.bad_since = history.is_suspected ? history.bad_since : now;
    result.verifying = overdue.verifying;
    result.overdue_fresh = overdue.overdue_fresh;
    if (counts.fast + counts.slow == 0) {
        upstream->statistics.decay_smoothed_latency(upstream->reference->median());
    }
    // Slow responses of upstreams in rotation belong to the service's latency distribution. Without
    // those of suspected upstreams, the distribution would lack its tail. A faulty upstream
    // distorts the distribution little, since the upstream is ejected after a few requests.
    const ejection_step step = upstream->step.load();
    const bool is_in_use = step == ejection_step::healthy || step == ejection_step::reduced;
    if ((is_in_use && !is_cold) || baseline.is_service_slow ||
        this->reference.total() < samples_needed) {
        this->add_to_reference(counts);
    }
    return result;
}

std::vector<upstream_assessment> outlier_detector::assess(const service_view& view,
                                                          bool is_service_slow, time_point now)
{
    const service_baseline baseline = this->update_baseline(view, is_service_slow, now);
    std::vector<upstream_assessment> results;
    results.reserve(view.upstreams.size());
    for (const auto& upstream : view.upstreams) {
        results.push_back(this->assess_one(upstream, baseline, now));
    }
    if (this->histories.size() > view.upstreams.size()) {
        std::unordered_map<std::shared_ptr<upstream_entry>, upstream_history> kept;
        for (const auto& upstream : view.upstreams) {
            kept[upstream] = this->histories[upstream];
        }
        this->histories = std::move(kept);
    }
    return results;
}

} // namespace dragonflyroad
