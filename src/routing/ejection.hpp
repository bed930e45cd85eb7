#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "routing/ejection_evidence.hpp"
#include "routing/ejection_step.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/upstream_set.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// One change of step, for the log and the counters.
struct ejection_change {
    service_name service;
    upstream_id upstream;
    ejection_step from = ejection_step::healthy;
    ejection_step to = ejection_step::healthy;
    fault_scope scope = fault_scope::none;
    double suspicion = 0;
};

/// Why an upstream that looks bad was not taken out; counted.
enum class ejection_veto { floor, service_slow, peers_uncertain, count };

/// The decision on one upstream, as shown by `status` and `explain`.
struct ejection_status {
    ejection_step step = ejection_step::healthy;
    fault_scope scope = fault_scope::none;
    double suspicion = 0;
    /// Ejections that the growth of the ejection time takes into account.
    std::uint32_t ejections = 0;
    /// While ejected: when probation begins.
    time_point until;
};

/// Moves upstreams through the steps healthy, reduced, ejected, probation. One controller runs it;
/// its only output on the request path are the atomics of upstream_entry.
///
/// An upstream is taken out on this node's own observations only. Peers' evidence decides whether
/// the fault is the upstream's or one of the path from here, and lets a node that has seen a little
/// act together with peers that have seen the same; it never takes an upstream out by itself.
class ejection_controller {
public:
    /// `self` is the name under which evidence is sent.
    explicit ejection_controller(node_id name) : self(std::move(name)) {}

    /// Evaluates all services; to be called every 50 to 100 ms. `floors` gives each service's
    /// share of announced capacity that stays unsuspected in rotation, from its profile; a service
    /// without an entry has 0.5. Returns the changes of this tick.
    std::vector<ejection_change> tick(const upstream_set& upstreams,
                                      const std::unordered_map<service_name, double>& floors,
                                      time_point now);

    /// The number of peers that this node exchanges pings with. With none, there is nobody to
    /// confirm a fault, and what this node sees is taken for a fault of the upstream.
    void set_reachable_peers(std::size_t count) { this->reachable_peers = count; }

    /// Takes in what a peer has observed. Evidence older than 2 s, or older than what is known from
    /// the same peer, is ignored.
    void accept(const ejection_evidence& evidence, time_point now);

    /// What to tell peers: upstreams that this node or a peer suspects, most suspected first.
    std::vector<ejection_evidence> evidence(time_point now) const;

    /// The decision on an upstream; nothing when it is unknown.
    std::optional<ejection_status> status(const service_name& service,
                                          const upstream_id& upstream) const;

    /// How often an upstream that looked bad was not taken out, by reason.
    std::uint64_t vetoes(ejection_veto reason) const
    {
        return this->veto_counts.at(static_cast<std::size_t>(reason));
    }

    /// Whether upstreams of several services look bad from here at once: a fault of this node.
    bool is_node_suspect() const { return this->node_suspect; }

    /// See outlier_detector::latency_quantile.
    duration latency_quantile(const service_name& service, double share) const;

private:
    struct record : ejection_status {
        duration last_ejection{0};
        time_point step_since;
        time_point calm_since;
        time_point observed_at;
        time_point last_good;
        std::uint32_t probes_good = 0;
        std::uint32_t probes_bad = 0;
        double recent_good = 0;
        double fresh_suspicion = 0;
        std::map<node_id, ejection_evidence> peers;
    };

    struct service_state {
        outlier_detector detector;
        std::map<upstream_id, record> records;
        bool is_slow = false;
        time_point slow_until;
        std::uint32_t preferred = 0;
    };

    /// One service during one tick.
    struct round {
        service_state& state;
        std::vector<upstream_assessment> assessments;
        std::shared_ptr<const service_view> view;
        double floor = 0.5;
        std::vector<ejection_change> changes;
        time_point now;
    };

    void tick_service(round& current);
    void step_one(round& current, const upstream_assessment& seen, record& known);
    void step_suspected(round& current, const upstream_assessment& seen, record& known);
    void step_probation(round& current, const upstream_assessment& seen, record& known);
    void eject(round& current, const upstream_assessment& seen, record& known);
    void restore_floor(round& current);
    static void set_preferred(round& current);
    static void verify(const upstream_assessment& seen, const record& known, time_point now);
    void update_scope(const upstream_assessment& seen, record& known, time_point now);
    void move(round& current, const upstream_assessment& seen, record& known, ejection_step step);
    bool may_eject(round& current, const upstream_assessment& seen);
    void veto(ejection_veto reason) { ++this->veto_counts.at(static_cast<std::size_t>(reason)); }

    node_id self;
    std::unordered_map<service_name, service_state> services;
    std::array<std::uint64_t, static_cast<std::size_t>(ejection_veto::count)> veto_counts{};
    bool node_suspect = false;
    std::size_t reachable_peers = 0;
};

} // namespace dragonflyroad
