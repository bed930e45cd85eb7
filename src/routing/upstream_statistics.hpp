#pragma once

#include "core/clock.hpp"
#include "routing/latency_histogram.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <vector>

namespace dragonflyroad {

/// The end of an exchange with an upstream, as the request path classifies it.
enum class outcome_kind {
    /// A complete response that is not a server error.
    success,
    /// A response with a 5xx status, other than `shed`.
    server_error,
    /// The upstream refused the request without running it. Such a refusal lowers the concurrency
    /// limit and is no evidence of a fault.
    shed,
    connect_failed,
    /// The connection broke while the request ran on it.
    broken,
    /// The idle deadline passed without progress.
    timed_out,
    /// A pooled connection failed and a fresh one worked, so the connection was at fault.
    stale_connection,
    /// The client disconnected or another hedged attempt won. A slow exchange still counts as slow.
    cancelled,
    /// A failure that the crash log attributes to the request itself.
    request_fault,
};

/// Attributes of a request, used to distinguish a fault of the upstream from a fault of one
/// request, one caller or one connection. `fingerprint` and `organisation` are hashes from
/// stable_hash.
struct request_attributes {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisation = 0;
    bool reused_connection = false;
    bool is_repeatable = false;
};

/// Counts since the previous collection. The bit sets hold one bit per hash value modulo 64.
struct outcome_counts {
    std::uint32_t fast = 0;
    std::uint32_t slow = 0;
    std::uint32_t failed = 0;
    std::uint32_t failed_reused = 0;
    std::uint32_t shed = 0;
    std::uint64_t bad_fingerprints = 0;
    std::uint64_t bad_organisations = 0;
    std::uint64_t all_organisations = 0;
    std::array<std::uint32_t, latency_bins> latencies{};
};

/// One request in flight whose response has not begun.
struct unanswered_request {
    time_point began;
    request_attributes mark;
};

/// Statistics of one upstream as observed by one node. The request path writes atomics without a
/// lock; one controller collects them on its tick. A request that is recorded during a collection
/// may be split over two collections, but no count is lost.
class upstream_statistics {
public:
    static constexpr std::uint32_t untracked = std::numeric_limits<std::uint32_t>::max();

    /// `max_tracked` is the number of requests in flight whose age is tracked; requests beyond it
    /// are counted without their age.
    explicit upstream_statistics(std::uint32_t max_tracked);

    /// Records a request sent at `now`. Returns its index for first_byte() and finish(), or
    /// `untracked`.
    std::uint32_t begin(const request_attributes& mark, time_point now);

    /// Records that the response has begun. From then on, its duration also depends on the client's
    /// network, so the request's age is no evidence.
    void first_byte(std::uint32_t index);

    /// Records the end of a request. `slow_above` is the service's current limit between ordinary
    /// and slow latencies.
    void finish(std::uint32_t index, const request_attributes& mark, time_point began,
                duration latency, outcome_kind outcome, duration slow_above);

    /// Returns the counts since the last call and resets them to zero. Only one thread may call it.
    outcome_counts collect_and_reset();

    /// Fills `requests` with the requests in flight whose response has not begun, in no particular
    /// order.
    void collect_unanswered(std::vector<unanswered_request>& requests) const;

    /// The latest start of a request that succeeded at ordinary latency.
    time_point last_good_start() const;

    /// Smoothed latency of successful requests, zero without samples.
    duration smoothed_latency() const { return duration{this->smoothed_ns.load(relaxed)}; }

    /// Lowers the smoothed latency towards `usual` while there are no samples. Otherwise, after one
    /// slow response, the picker might never choose the upstream again.
    void decay_smoothed_latency(duration usual);

private:
    static constexpr auto relaxed = std::memory_order_relaxed;

    struct tracked_request {
        std::atomic<std::int64_t> began_ns{0};
        std::atomic<std::uint64_t> fingerprint{0};
        std::atomic<std::uint64_t> organisation{0};
        std::atomic<bool> reused{false};
        std::atomic<bool> answered{false};
    };

    void record_good(time_point began, duration latency);
    void record_bad(const request_attributes& mark);

    std::vector<tracked_request> tracked_requests;
    std::atomic<std::uint32_t> next_index{0};
    std::atomic<std::uint32_t> fast{0};
    std::atomic<std::uint32_t> slow{0};
    std::atomic<std::uint32_t> failed{0};
    std::atomic<std::uint32_t> failed_reused{0};
    std::atomic<std::uint32_t> shed{0};
    std::atomic<std::uint64_t> bad_fingerprints{0};
    std::atomic<std::uint64_t> bad_organisations{0};
    std::atomic<std::uint64_t> all_organisations{0};
    std::atomic<std::int64_t> last_good_start_ns{0};
    std::atomic<std::int64_t> smoothed_ns{0};
    std::array<std::atomic<std::uint32_t>, latency_bins> latencies{};
};

} // namespace dragonflyroad
