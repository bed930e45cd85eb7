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
    /// Finishes its requests and gets no new ones.
    draining,
    /// No longer announced.
    expired,
};

/// The announced properties of one upstream. What the upstream's health and load endpoints report
/// is left out: it lags or misleads, so no decision uses it.
struct upstream_announcement {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 1;
    upstream_state state = upstream_state::ready;
    /// How long the upstream had been announced when this node first learned of it; zero when it
    /// has just started. Keeps a node that starts later than the upstream from treating it as cold.
    duration age{0};
};

/// The latency reference of one service, written by the routing controller and read by the request
/// path.
struct service_reference {
    /// Latencies above this are slow; zero until there are enough samples.
    std::atomic<std::int64_t> slow_above_ns{0};
    /// Median latency over the last half minute; zero until there are enough samples.
    std::atomic<std::int64_t> median_ns{0};

    /// Index in the view of an upstream that waits for a verification or probe, so that the picker
    /// finds that upstream among many. Only a hint.
    std::atomic<std::uint32_t> preferred{0};

    duration slow_above() const { return duration{this->slow_above_ns.load()}; }
    duration median() const { return duration{this->median_ns.load()}; }
};

/// One upstream: its announcement, the controllers' decisions and the observed statistics. The
/// fields that controllers write are atomics, which the request path reads.
struct upstream_entry {
    upstream_entry(const upstream_announcement& announcement,
                   std::shared_ptr<service_reference> service_reference, time_point now);

    const upstream_id id;
    const service_name service;
    const std::shared_ptr<service_reference> reference;
    std::atomic<std::uint32_t> slots;
    std::atomic<upstream_state> state;
    /// Time in ns at which the upstream was announced or became ready again. A cold upstream's slow
    /// responses are no evidence against it.
    std::atomic<std::int64_t> cold_since_ns;
    /// Start of the slow start in ns. The weight is full when the duration `slow_start` has passed.
    std::atomic<std::int64_t> slow_start_since_ns;
    /// Start of the latest probation in ns. Requests that began earlier are no evidence, as they do
    /// not show the upstream's present health.
    std::atomic<std::int64_t> evidence_since_ns{0};
    std::atomic<ejection_step> step{ejection_step::healthy};
    /// Maximum number of requests that this node may have in flight at the upstream, adapted by
    /// update_concurrency_limit(). Probes and verifications may exceed it.
    std::atomic<std::uint32_t> limit;
    std::atomic<std::uint32_t> in_flight{0};
    /// Maximum of `in_flight` since the concurrency limit was last updated.
    std::atomic<std::uint32_t> in_flight_peak{0};
    /// During probation, the earliest time of the next probe in ns.
    std::atomic<std::int64_t> next_probe_ns{0};
    /// Whether requests must use fresh connections, because pooled ones may be unresponsive.
    std::atomic<bool> needs_fresh_connection{false};
    /// Number of repeatable requests to send here in preference to other upstreams, to verify a
    /// suspicion. Without them, power of two choices would starve a suspected upstream of the
    /// requests that confirm or clear the suspicion.
    std::atomic<std::int32_t> requested_verifications{0};
    upstream_statistics statistics;

    time_point cold_since() const { return time_point{duration{this->cold_since_ns.load()}}; }
    time_point slow_start_since() const
    {
        return time_point{duration{this->slow_start_since_ns.load()}};
    }
    time_point evidence_since() const
    {
        return time_point{duration{this->evidence_since_ns.load()}};
    }
};

/// The upstreams of one service. The list is immutable; its entries change.
struct service_view {
    std::vector<std::shared_ptr<upstream_entry>> upstreams;
    std::shared_ptr<service_reference> reference;
};

/// A request in flight, from begin() to finish().
struct exchange {
    std::shared_ptr<upstream_entry> upstream;
    std::uint32_t tracking_index = upstream_statistics::untracked;
    request_attributes mark;
    time_point began;
    /// Time of the first byte of the response; latency is measured up to it.
    std::optional<time_point> answered;
};

/// All upstreams that this node knows. Only one thread at a time may call apply() and remove(). The
/// other functions are thread-safe and take no lock except the one inside snapshot_cell.
class upstream_set {
public:
    /// Adds, updates or expires an upstream. A new upstream, and one that returns after it drained
    /// or expired, is cold.
    void apply(const upstream_announcement& announcement, time_point now);

    /// Removes an upstream that is draining or expired and has no requests in flight; returns
    /// whether it was removed.
    bool remove(const service_name& service, const upstream_id& upstream);

    /// The service's upstreams; null when none was ever announced.
    std::shared_ptr<const service_view> view(const service_name& service) const;

    /// All services, for the controllers' ticks.
    std::vector<std::shared_ptr<const service_view>> views() const;

    /// Starts a request. If the upstream waits for a verification, a repeatable request counts as
    /// one. Returns nothing, with the failure step `begin`, when the upstream is unknown, draining,
    /// expired, ejected or at its concurrency limit, or is in probation and its next probe is not
    /// due. The upstream may have entered this state after it was picked, so the caller should pick
    /// again.
    std::optional<exchange> begin(const service_name& service, const upstream_id& upstream,
                                  const request_attributes& mark, time_point now) const;

    /// Overload for an entry taken from a view.
    static std::optional<exchange> begin(const std::shared_ptr<upstream_entry>& upstream,
                                         const request_attributes& mark, time_point now);

    /// Records the first byte of the response.
    static void first_byte(exchange& running, time_point now);

    /// Ends a request; to be called exactly once.
    static void finish(const exchange& running, outcome_kind outcome, time_point now);

private:
    using view_map = std::unordered_map<service_name, std::shared_ptr<const service_view>>;

    snapshot_cell<view_map> services;
};

} // namespace dragonflyroad
