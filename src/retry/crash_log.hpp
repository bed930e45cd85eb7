#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// Hash that is equal for requests with the same organisation, destination, method, path and body.
/// The destination is the service, or the host where a route leads to several services.
std::uint64_t request_fingerprint(const organisation_id& organisation, std::string_view destination,
                                  std::string_view method, std::string_view path,
                                  std::string_view body);

/// A crash observed by this node or received from a peer. Sent to peers as a crash_report.
struct crash_record {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    /// Time of the crash on this node's clock. For a received record it is the time of receipt
    /// minus the age stated in the message.
    time_point at;

    bool operator==(const crash_record&) const = default;
};

/// The decision on a request whose fingerprint may have crashed upstreams before.
enum class crash_verdict {
    allowed,
    /// Refuse the request with reason `crash_suspect`.
    blocked,
    /// Run the request as the single half-open trial and report its outcome with record_crash() or
    /// record_trial_success().
    trial,
};

/// When a crash_log blocks a fingerprint, and for how long.
struct crash_block_rule {
    /// Different upstreams that it has crashed within a minute.
    std::size_t crashes = 2;
    /// The first block lasts 60 s from the last crash, and each one that follows a crash after it
    /// twice as long, up to this.
    std::chrono::seconds longest_block{60};
};

/// Circuit breaker for requests that crash the upstreams that run them. After crashes on several
/// different upstreams within a minute, a fingerprint is blocked; then one request is admitted as a
/// half-open trial. If the trial succeeds the fingerprint is unblocked, which bounds the time for
/// which a harmless request is refused; if it crashes an upstream, the next block begins. Holds at
/// most `max_entry_count` fingerprints and evicts those with the oldest crashes first. Not
/// thread-safe.
class crash_log {
public:
    static constexpr std::size_t max_entry_count = 4096;
    explicit crash_log(const crash_block_rule& block_rule = {}) : rule(block_rule) {}

    /// Records a crash: the connection to `upstream` broke while it ran the request, and the
    /// upstream then refused connections.
    void record_crash(std::uint64_t fingerprint, const upstream_id& upstream, time_point now);

    /// Records that a trial ended without a crash.
    void record_trial_success(std::uint64_t fingerprint, time_point now);

    /// Whether the request may run now. When it returns crash_verdict::trial, the caller runs the
    /// trial, and other requests with this fingerprint are blocked until its outcome is recorded,
    /// for at most 15 s.
    crash_verdict check_fingerprint(std::uint64_t fingerprint, time_point now);

    /// Whether check_fingerprint() would return crash_verdict::blocked; starts no trial.
    bool is_blocked(std::uint64_t fingerprint, time_point now) const;

    /// Whether the fingerprint has crashed an upstream other than `upstream` within the last
    /// minute. A failure at `upstream` is then attributed to the request
    /// (outcome_kind::request_fault).
    bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream, time_point now) const;

    /// Merges the crash records of a peer. Merging a record again has no effect.
    void merge(const std::vector<crash_record>& records, time_point now);

    /// Crashes of the last minute, newest first, at most `count`.
    std::vector<crash_record> recent(std::size_t count, time_point now) const;

    std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        std::map<upstream_id, time_point> crashes;
        time_point last_crash;
        time_point blocked_until;
        /// While a trial runs, the time from which another one may start, as the outcome of the
        /// first may never be reported.
        time_point trial_until;
        /// Crashes up to this time were cleared by a successful trial.
        time_point cleared_at;
        /// Length of the present or the last block; zero before the first one.
        duration block_time{};
        bool is_blocked = false;
    };

    void add(std::uint64_t fingerprint, const upstream_id& upstream, time_point at, time_point now);
    void evict_oldest_if_full();

    crash_block_rule rule;
    std::map<std::uint64_t, entry> entries;
};

} // namespace dragonflyroad
