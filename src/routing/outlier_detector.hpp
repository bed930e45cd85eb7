#pragma once

#include "core/clock.hpp"
#include "routing/latency_histogram.hpp"
#include "routing/upstream_set.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Suspicion, as a log-likelihood ratio, at which an upstream gets less work.
constexpr double suspicion_to_reduce = 6;
/// Suspicion at which an upstream is taken out: about one false alarm in e^18 = 6.6e7 requests when
/// requests are independent.
constexpr double suspicion_to_eject = 18;

/// What one node knows about one upstream, from its own requests alone.
struct upstream_assessment {
    std::shared_ptr<upstream_entry> upstream;
    /// Evidence that the upstream is bad, 0 to 30. At `suspicion_to_reduce` and
    /// `suspicion_to_eject` the controller acts.
    double suspicion = 0;
    /// The part of it that does not rest on pooled connections.
    double fresh_suspicion = 0;
    /// Whether the evidence is enough by its kind: several requests, several organisations where
    /// there are several, and not only pooled connections.
    bool is_conclusive = false;
    /// Responses of ordinary latency, and slow ones or failures, since the last assessment.
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
    /// Requests in flight for longer than an ordinary latency.
    std::uint32_t overdue = 0;
    /// Requests in flight on fresh connections that are not overdue yet.
    std::uint32_t verifying = 0;
    /// Those of `overdue` that are on fresh connections.
    std::uint32_t overdue_fresh = 0;
    /// Responses of ordinary latency within about the last 2 s.
    double recent_good = 0;
    /// Start of the earliest request that counts against the upstream.
    time_point bad_since;
    /// The last ordinary response after that, or the same: start of the present episode.
    time_point episode_since;
    bool has_shed = false;
};

/// Compares the upstreams of one service with each other.
///
/// Each observed request is good, or bad (failed, or slower than a limit that follows the service's
/// own latency distribution). A cumulative sum of log-likelihood ratios, "bad as often as a faulty
/// upstream" against "bad as often as its peers", gives the suspicion: it needs few requests when
/// the peers are rarely bad, and many when the service is noisy. Requests in flight count by their
/// age, so that a stall is seen without waiting for a time-out. Repeats of one request count once.
/// Not shared between threads.
class outlier_detector {
public:
    /// Harvests the statistics of all upstreams of the view, and publishes the service's reference.
    /// `is_service_slow` is what the controller found in the previous round: evidence is then
    /// limited, and the reference follows all upstreams.
    std::vector<upstream_assessment> assess(const service_view& view, bool is_service_slow,
                                            time_point now);

    /// Forgets the evidence against an upstream; earlier requests no longer count.
    void clear(const std::shared_ptr<upstream_entry>& upstream, time_point now);

    /// The latency that the given share of the service's requests stayed below, over about half a
    /// minute; zero without samples. For hedging.
    duration latency_quantile(double share) const { return this->reference.quantile(share); }

private:
    struct memory {
        double suspicion = 0;
        double pooled_suspicion = 0;
        double recent_good = 0;
        double recent_bad = 0;
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

    /// What counts as bad at this moment, and how often sound upstreams are bad.
    struct yardstick {
        duration slow_above{0};
        /// How far the first and the last bad request must lie apart to be conclusive.
        duration least_span{0};
        double bad_share = 0;
        bool is_service_slow = false;
    };

    struct waiting_evidence {
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

    yardstick make_yardstick(const service_view& view, bool is_service_slow, time_point now);
    upstream_assessment assess_one(const std::shared_ptr<upstream_entry>& upstream,
                                   const yardstick& stick, time_point now);
    std::uint32_t add_counts(memory& known, const outcome_counts& counts, bool is_cold,
                             const yardstick& stick, time_point now);
    waiting_evidence weigh_waiting(const upstream_entry& upstream, bool is_cold,
                                   const yardstick& stick, time_point now);
    void add_to_reference(const outcome_counts& counts);

    std::unordered_map<std::shared_ptr<upstream_entry>, memory> memories;
    latency_histogram reference;
    double long_good = 0;
    double long_bad = 0;
    time_point last_assessed;
    std::vector<waiting_request> waiting;
};

} // namespace dragonflyroad
