#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// Identifies requests that are alike: same organisation, service, method, path and body.
std::uint64_t request_fingerprint(const organisation_id& organisation, const service_name& service,
                                  std::string_view method, std::string_view path,
                                  std::string_view body);

/// A crash as gossiped between nodes.
struct crash_record {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    /// When it happened, on this node's clock: time of receipt less the stated age.
    time_point at;

    bool operator==(const crash_record&) const = default;
};

/// What to do with a request that may have crashed upstreams before.
enum class crash_verdict {
    allowed,
    /// Refuse it: reason `crash_suspect`.
    blocked,
    /// Let it run once; report how it ended with note() or note_survived().
    trial,
};

/// Remembers which requests crash the upstreams that run them. After crashes on two different
/// upstreams within a minute, a fingerprint is refused for 60 s from the last crash; then one
/// request is let through. If it survives, the fingerprint is free again, so that an innocent
/// request is refused for a bounded time; if it crashes another upstream, the next block begins.
/// Holds at most `largest_count` fingerprints; those with the oldest crashes are dropped first.
/// Not shared between threads.
class crash_log {
public:
    static constexpr std::size_t largest_count = 4096;

    /// The connection to `upstream` broke while it ran the request and it then refused connections.
    void note(std::uint64_t fingerprint, const upstream_id& upstream, time_point now);

    /// A trial ended without a crash.
    void note_survived(std::uint64_t fingerprint, time_point now);

    /// Whether the request may run now. Takes the trial when it returns crash_verdict::trial.
    crash_verdict ask(std::uint64_t fingerprint, time_point now);

    /// As above, without taking a trial.
    bool is_blocked(std::uint64_t fingerprint, time_point now) const;

    /// Whether the fingerprint has crashed an upstream other than `upstream` within the last
    /// minute: a failure of it is then the request's fault (outcome_kind::request_fault).
    bool is_suspect(std::uint64_t fingerprint, const upstream_id& upstream, time_point now) const;

    /// Takes in what a peer knows. Repeated records have no effect.
    void merge(const std::vector<crash_record>& records, time_point now);

    /// Crashes of the last minute, newest first, at most `count`.
    std::vector<crash_record> recent(std::size_t count, time_point now) const;

    std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        std::map<upstream_id, time_point> crashes;
        time_point last_crash;
        time_point blocked_until;
        /// While a trial runs, when another may start; its node may have been lost.
        time_point trial_until;
        /// Crashes until this time were cleared by a survived trial.
        time_point cleared_at;
        bool is_blocked = false;
    };

    void add(std::uint64_t fingerprint, const upstream_id& upstream, time_point at, time_point now);
    void make_room();

    std::map<std::uint64_t, entry> entries;
};

} // namespace dragonflyroad
