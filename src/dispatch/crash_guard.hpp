#pragma once

#include "core/clock.hpp"
#include "retry/crash_log.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// An upstream that ended while it ran requests, any of which may have caused it.
struct upstream_crash {
    /// Identifies the run of the upstream's process that ended. No white space.
    std::string lifetime;
    /// Fingerprints of the requests that were running; see request_fingerprint().
    std::vector<std::uint64_t> suspects;

    /// The text under which a crash is stored for the fleet: the lifetime and the fingerprints in
    /// hexadecimal, separated by spaces.
    std::string to_text() const;
    /// Nothing when the text is not such a text; the reason is in last_failure(), with `source` as
    /// the peer.
    static std::optional<upstream_crash> from_text(const std::string& text,
                                                   const std::string& source);
};

/// Keeps a request that crashes the upstreams that run it from reaching more of them. The load
/// pattern: such a request comes again and again, at any node, and each time all the other requests
/// that the upstream is running are lost with it. Every request that runs at the time of a crash is
/// a suspect, except those that have succeeded lately: a request that crashes upstreams never does.
/// A suspect of three crashes is refused for a time that grows with each further crash. Not
/// synchronised.
class crash_guard {
public:
    crash_guard();

    /// Records that a run of the request ended with an answer other than a failure.
    void record_success(std::uint64_t fingerprint, time_point now);

    /// Records a run whose connection the upstream closed before it had answered.
    void record_broken_run(std::uint64_t fingerprint, time_point now);
    /// When a run was last broken; zero before the first one of this lifetime.
    time_point last_broken_at() const { return this->broken_at; }

    /// The upstream was found to have ended. Returns the crash if runs were broken by it that may
    /// have caused it, and forgets the broken runs.
    std::optional<upstream_crash> confirm_crash(const std::string& lifetime, time_point now);

    /// Adds a crash of any upstream of the fleet. One that is added again does not count twice.
    void add(const upstream_crash& crash, time_point now);

    /// Whether the request must not run.
    bool is_blocked(std::uint64_t fingerprint, time_point now) const;

private:
    bool has_succeeded_lately(std::uint64_t fingerprint, time_point now) const;

    crash_log log;
    std::map<std::uint64_t, time_point> succeeded_at;
    /// The entries of succeeded_at in the order in which they were recorded, with their time.
    std::deque<std::pair<std::uint64_t, time_point>> success_order;
    std::vector<std::pair<std::uint64_t, time_point>> broken_runs;
    time_point broken_at{};
};

} // namespace dragonflyroad
