#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/snapshot_cell.hpp"
#include "routing/ejection_step.hpp"
#include "routing/upstream_statistics.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

enum class upstream_state {
    ready,
    /// Finishes what it has and gets no new work.
    draining,
    /// No longer announced.
    expired,
};

/// What the announcements say of one upstream. Health and load endpoints are no part of it: they
/// lag or mislead, and carry no weight in any decision.
struct upstream_announcement {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::ready;
    /// How long it had been announced when this node first heard of it; zero when it has just
    /// started. A node that starts later than the upstream must not take it for cold.
    duration age{0};
};

/// The request path's view of how latencies of one service are to be judged; written by the
/// routing controller.
struct service_reference {
    /// Latencies above this are slow; zero until enough has been seen.
    std::atomic<std::int64_t> slow_above_ns{0};
    /// Median latency over the last half minute; zero until enough has been seen.
    std::atomic<std::int64_t> median_ns{0};

    /// Place in the view of an upstream that waits for a verification or probe, so that the picker
    /// finds it among many. Only a hint.
    std::atomic<std::uint32_t> preferred{0};

    duration slow_above() const { return duration{this->slow_above_ns.load()}; }
    duration median() const { return duration{this->median_ns.load()}; }
};

/// One upstream: what is announced, what the controllers have decided and what was observed. The
/// fields written by controllers are atomics that the request path reads.
struct upstream_entry {
    upstream_entry(const upstream_announcement& announcement,
                   std::shared_ptr<service_reference> service_reference, time_point now);

    const upstream_id id;
    const service_name service;
    const std::shared_ptr<service_reference> reference;
    std::atomic<std::uint32_t> slots;
    std::atomic<upstream_state> state;
    /// When it was announced, ns. A cold upstream's slow answers are no evidence against it.
    std::atomic<std::int64_t> cold_since_ns;
    /// Start of the slow start, ns; it gets its full weight `slow_start` later.
    std::atomic<std::int64_t> ramp_since_ns;
    /// Requests that began earlier are no evidence: they are left over from before a change of
    /// step, ns.
    std::atomic<std::int64_t> evidence_from_ns{0};
    std::atomic<ejection_step> step{ejection_step::healthy};
    /// Requests that this node may have in flight, by the concurrency limit.
    std::atomic<std::uint32_t> limit;
    std::atomic<std::uint32_t> in_flight{0};
    /// The most that were in flight since the concurrency limit was last updated.
    std::atomic<std::uint32_t> in_flight_peak{0};
    /// In probation, the earliest time of the next request, ns.
    std::atomic<std::int64_t> next_probe_ns{0};
    /// Requests are to be sent on fresh connections: pooled ones may be unresponsive.
    std::atomic<bool> verify_fresh{false};
    /// Repeatable requests to be sent here in preference to other upstreams, to verify a
    /// suspicion. Without them, power of two choices starves a suspected upstream of the requests
    /// that would prove or clear it.
    std::atomic<std::int32_t> verifications{0};
    upstream_statistics statistics;

    time_point cold_since() const { return time_point{duration{this->cold_since_ns.load()}}; }
    time_point ramp_since() const { return time_point{duration{this->ramp_since_ns.load()}}; }
    time_point evidence_from() const { return time_point{duration{this->evidence_from_ns.load()}}; }
};

/// The upstreams of one service. Immutable list; its entries change.
struct service_view {
    std::vector<std::shared_ptr<upstream_entry>> upstreams;
    std::shared_ptr<service_reference> reference;
};

/// A request in flight, from begin() to finish().
struct exchange {
    std::shared_ptr<upstream_entry> upstream;
    std::uint32_t place = upstream_statistics::untracked;
    request_mark mark;
    time_point began;
    /// Set at the first byte of the response; latency is measured up to here.
    std::optional<time_point> answered;
};

/// All upstreams that this node follows. apply() and remove() are called by one controller; the
/// other functions by any thread, without a lock beside the snapshot's.
class upstream_set {
public:
    /// Announces, changes or withdraws an upstream. A new one, and one that returns after it
    /// drained or expired, is cold.
    void apply(const upstream_announcement& announcement, time_point now);

    /// Forgets an upstream that has expired or drained and has nothing in flight; returns whether
    /// it did.
    bool remove(const service_name& service, const upstream_id& upstream);

    /// The service's upstreams; null when none was ever announced.
    std::shared_ptr<const service_view> view(const service_name& service) const;

    /// All services, for the controllers' ticks.
    std::vector<std::shared_ptr<const service_view>> views() const;

    /// Starts a request. A repeatable one serves as verification if one is wanted. Returns nothing
    /// (step `begin`) when the upstream is unknown, draining, or at its concurrency limit, or
    /// ejected, since it was picked: pick again.
    std::optional<exchange> begin(const service_name& service, const upstream_id& upstream,
                                  const request_mark& mark, time_point now) const;

    /// As above, for an entry taken from a view.
    static std::optional<exchange> begin(const std::shared_ptr<upstream_entry>& upstream,
                                         const request_mark& mark, time_point now);

    /// The response has begun to arrive.
    static void first_byte(exchange& running, time_point now);

    /// Ends a request; to be called exactly once.
    static void finish(const exchange& running, outcome_kind outcome, time_point now);

private:
    using view_map = std::unordered_map<service_name, std::shared_ptr<const service_view>>;

    snapshot_cell<view_map> services;
};

} // namespace dragonflyroad
