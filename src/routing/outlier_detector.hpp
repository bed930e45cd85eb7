#pragma once

#include "core/clock.hpp"
#include "routing/latency_histogram.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Suspicion, as a log-likelihood ratio, at which an upstream's weight is reduced.
constexpr double suspicion_to_reduce = 6;
/// Suspicion at which an upstream is ejected: about one false alarm in e^18 = 6.6e7 requests when
/// requests are independent.
constexpr double suspicion_to_eject = 18;

/// One node's assessment of one upstream, from its own requests alone.
struct upstream_assessment {
    std::shared_ptr<upstream_entry> upstream;
    /// Evidence that the upstream is faulty, 0 to 60. The controller acts at `suspicion_to_reduce`
    /// and `suspicion_to_eject`.
    double suspicion = 0;
    /// `suspicion` without the requests on pooled connections that are overdue or failed, as the
    /// connection may be at fault. Slow responses and server errors on pooled connections do count.
    double fresh_suspicion = 0;
    /// Whether the evidence suffices for an ejection: it comes from at least three different
    /// requests, from several organisations if several use the upstream, not from pooled
    /// connections only, and lasts for a minimum time.
    bool is_conclusive = false;
    /// Counts since the last assessment: `good` are responses of ordinary latency, `bad` are slow
    /// responses and failures. Repeats of one request count as one in `bad`.
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
    /// Requests without a response for longer than the limit between ordinary and slow latencies.
    /// The limit is ten times as high for a cold upstream.
    std::uint32_t overdue = 0;
    /// Requests in flight on fresh connections that are not overdue yet.
    std::uint32_t verifying = 0;
    /// Overdue requests on fresh connections.
    std::uint32_t overdue_fresh = 0;
    /// Responses of ordinary latency within about the last 2 s.
    double recent_good = 0;
    /// Start of the earliest overdue request when the suspicion arose, or the time of that
    /// assessment if no request was overdue. Without suspicion, the time of this assessment.
    time_point bad_since;
    /// Start of the present episode of bad requests: the start of the last ordinary request since
    /// `bad_since`, or `bad_since`.
    time_point episode_since;
    bool has_shed = false;
};

/// Detects outliers among the upstreams of one service by comparing them with each other.
///
/// Each observed request is good, or bad (failed, or slower than a limit that follows the service's
/// own latency distribution). The suspicion is a cumulative sum (CUSUM) of log-likelihood ratios of
/// two hypotheses: "bad as often as a faulty upstream" against "bad as often as the other
/// upstreams". It needs few requests when the others are rarely bad, and many when the service is
/// noisy. Requests in flight count by their age, so that a stall is detected before a time-out.
/// Repeats of one request count once. Not synchronised.
class outlier_detector {
public:
    /// Collects and resets the statistics of all upstreams of the view, and publishes the service's
    /// reference. `is_service_slow` is the controller's finding of the previous tick: if it is set,
    /// the suspicion from completed requests is limited, and the reference includes all upstreams.
    std::vector<upstream_assessment> assess(const service_view& view, bool is_service_slow,
                                            time_point now);

    /// Discards the evidence against an upstream; requests that began before `now` no longer count.
    void clear(const std::shared_ptr<upstream_entry>& upstream, time_point now);

    /// The quantile `share` of the service's latencies over about half a minute; zero without
    /// samples. Used for hedging.
    duration latency_quantile(double share) const { return this->reference.quantile(share); }

private:
    struct upstream_history {
        double suspicion = 0;
        double pooled_suspicion = 0;
        double recent_good = 0;
        double recent_bad = 0;
        /// Bit sets of the hashes seen in the current and the previous fingerprint generation.
        std::uint64_t bad_fingerprints[2] = {0, 0};
        std::uint64_t bad_organisations[2] = {0, 0};
        std::uint64_t all_organisations[2] = {0, 0};
        time_point generation;
        time_point bad_since;
        time_point last_bad;
        time_point episode_since;
        time_point suspected_since;
        bool is_suspected = false;
    };

    /// The service's current limit for slow requests, and the share of bad requests at healthy
    /// upstreams.
    struct service_baseline {
        duration slow_above{0};
        /// Minimum time between the first and the last bad request for conclusive evidence.
        duration min_span{0};
        double bad_share = 0;
        bool is_service_slow = false;
    };

    struct overdue_evidence {
        double fresh = 0;
        double pooled = 0;
        std::vector<std::uint64_t> fingerprints;
        std::uint64_t organisations = 0;
        /// Requests on fresh connections that are not overdue yet.
        std::uint32_t verifying = 0;
        std::uint32_t overdue_fresh = 0;
        time_point earliest;
        time_point latest;
    };

    service_baseline update_baseline(const service_view& view, bool is_service_slow,
                                     time_point now);
    upstream_assessment assess_one(const std::shared_ptr<upstream_entry>& upstream,
                                   const service_baseline& baseline, time_point now);
    std::uint32_t add_counts(upstream_history& history, const outcome_counts& counts, bool is_cold,
                             const service_baseline& baseline, time_point now);
    overdue_evidence find_overdue(const upstream_entry& upstream, bool is_cold,
                                  const service_baseline& baseline, time_point now);
    void add_to_reference(const outcome_counts& counts);

    std::unordered_map<std::shared_ptr<upstream_entry>, upstream_history> histories;
    latency_histogram reference;
    double reference_good = 0;
    double reference_bad = 0;
    time_point last_assessed;
    std::vector<unanswered_request> unanswered;
};

} // namespace dragonflyroad
