#pragma once

#include "core/clock.hpp"
#include "routing/latency_histogram.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <limits>
#include <vector>

namespace dragonflyroad {

/// How an exchange with an upstream ended, as the request path classifies it.
enum class outcome_kind {
    /// A complete response that is not a server error.
    success,
    /// A response with a 5xx status, other than `shed`.
    server_error,
    /// The upstream answered that it did not run the request. An honest refusal lowers the
    /// concurrency limit and is no evidence of a fault.
    shed,
    connect_failed,
    /// The connection broke while the request ran on it.
    broken,
    /// No progress within the idle deadline.
    timed_out,
    /// A pooled connection failed and a fresh connection worked: a fault of the connection.
    stale_connection,
    /// The client went away or a hedge won. Slow exchanges still count as slow.
    cancelled,
    /// A failure that the crash log attributes to the request itself.
    request_fault,
};

/// What the statistics keep of a request to tell a fault of one request, one caller or one
/// connection from a fault of the upstream. Both hashes come from stable_hash.
struct request_mark {
    std::uint64_t fingerprint = 0;
    std::uint64_t organisation = 0;
    bool reused_connection = false;
    bool is_repeatable = false;
};

/// Counts since the previous harvest. The bit sets hold one bit per hash value modulo 64.
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

/// One request that waits for the first byte of its response.
struct waiting_request {
    time_point began;
    request_mark mark;
};

/// Statistics of one upstream as seen by one node. The request path writes atomics without a lock;
/// one controller harvests them on its tick. Counters that are read while they are written may be
/// split over two harvests, but none is lost.
class upstream_statistics {
public:
    static constexpr std::uint32_t untracked = std::numeric_limits<std::uint32_t>::max();

    /// `tracked` is the number of requests in flight whose age is known; further ones are counted.
    explicit upstream_statistics(std::uint32_t tracked);

    /// Records a request sent at `now`; returns its place for first_byte() and finish().
    std::uint32_t begin(const request_mark& mark, time_point now);

    /// The response has begun: from now on, its duration depends on the client's network as well
    /// and its age is no evidence.
    void first_byte(std::uint32_t place);

    /// Records the end of a request. `slow_above` is the service's current limit between ordinary
    /// and slow latencies.
    void finish(std::uint32_t place, const request_mark& mark, time_point began, duration latency,
                outcome_kind outcome, duration slow_above);

    /// Returns the counts since the last call and starts again from zero. One caller only.
    outcome_counts harvest();

    /// Requests that still wait for their first byte, in no particular order.
    void collect_waiting(std::vector<waiting_request>& requests) const;

    /// The latest start of a request that succeeded at ordinary latency.
    time_point last_good_start() const;

    /// Smoothed latency of successful requests, zero without samples.
    duration smoothed_latency() const { return duration{this->smoothed_ns.load(relaxed)}; }

    /// Moves the smoothed latency towards `usual` while there are no samples; otherwise one slow
    /// response would keep the picker away for good.
    void relax_smoothed_latency(duration usual);

private:
    static constexpr auto relaxed = std::memory_order_relaxed;

    struct place_state {
        std::atomic<std::int64_t> began_ns{0};
        std::atomic<std::uint64_t> fingerprint{0};
        std::atomic<std::uint64_t> organisation{0};
        std::atomic<bool> reused{false};
        std::atomic<bool> answered{false};
    };

    void note_good(time_point began, duration latency);
    void note_bad(const request_mark& mark);

    std::vector<place_state> places;
    std::atomic<std::uint32_t> next_place{0};
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
