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

/// Why an upstream with sufficient evidence against it was not ejected. Each reason has a counter.
enum class ejection_block_reason { floor, service_slow, no_comparison, count };

/// The ejection state of one upstream, as shown by `status` and `explain`.
struct ejection_status {
    ejection_step step = ejection_step::healthy;
    fault_scope scope = fault_scope::none;
    double suspicion = 0;
    /// Recent ejections. Each one doubles the next ejection time, up to 60 s.
    std::uint32_t ejections = 0;
    /// While ejected: when probation begins.
    time_point until;
};

/// Moves upstreams through the steps healthy, reduced, ejected and probation. Not synchronised: one
/// thread at a time may call it. The request path sees only the atomics of upstream_entry and
/// service_reference.
///
/// An upstream is ejected only on this node's own observations, never on evidence from peers alone.
/// That evidence decides whether the fault is the upstream's or one of the path from this node. It
/// also makes a node with few observations of its own verify an upstream that peers suspect.
class ejection_controller {
public:
    /// `name` identifies this node as the sender of evidence.
    explicit ejection_controller(node_id name) : self(std::move(name)) {}

    /// Evaluates all services; to be called every 50 to 100 ms. `floors` holds, for each service,
    /// the share of announced capacity that must stay healthy and in rotation, from its profile; a
    /// service without an entry has 0.5. Returns the changes of this tick.
    std::vector<ejection_change> tick(const upstream_set& upstreams,
                                      const std::unordered_map<service_name, double>& floors,
                                      time_point now);

    /// Sets the number of peers that this node exchanges pings with. Without any, no peer can
    /// confirm a fault, so the faults that this node observes are attributed to the upstream.
    void set_reachable_peers(std::size_t count) { this->reachable_peers = count; }

    /// Stores a peer's evidence. Ignores evidence of unknown upstreams, evidence older than 2 s,
    /// and evidence older than the latest from the same peer.
    void accept_evidence(const ejection_evidence& evidence, time_point now);

    /// The evidence to gossip: recent observations of upstreams that this node or a peer suspects,
    /// or that are ejected or in probation. At most 16 entries, by descending suspicion.
    std::vector<ejection_evidence> evidence_to_gossip(time_point now) const;

    /// The ejection state of an upstream; nothing when it is unknown.
    std::optional<ejection_status> status(const service_name& service,
                                          const upstream_id& upstream) const;

    /// How often an upstream with sufficient evidence against it was not ejected, by reason.
    std::uint64_t blocked_ejections(ejection_block_reason reason) const
    {
        return this->blocked_counts.at(static_cast<std::size_t>(reason));
    }

    /// Whether more than a third of all ready upstreams, in at least two services, look faulty from
    /// this node, which indicates a fault of the node.
    bool is_node_suspect() const { return this->node_suspect; }

    /// See outlier_detector::latency_quantile.
    duration latency_quantile(const service_name& service, double share) const;

private:
    struct ejection_record : ejection_status {
        duration last_ejection_time{0};
        time_point step_since;
        time_point suspected_until;
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
        std::map<upstream_id, ejection_record> records;
        bool is_slow = false;
        time_point slow_until;
        std::uint32_t preferred = 0;
    };

    /// The evaluation of one service during one tick.
    struct evaluation {
        service_state& state;
        std::vector<upstream_assessment> assessments;
        std::shared_ptr<const service_view> view;
        double floor = 0.5;
        std::vector<ejection_change> changes;
        time_point now;
    };

    void tick_service(evaluation& current);
    void update_step(evaluation& current, const upstream_assessment& assessment,
                     ejection_record& record);
    void update_suspected(evaluation& current, const upstream_assessment& assessment,
                          ejection_record& record);
    void update_probation(evaluation& current, const upstream_assessment& assessment,
                          ejection_record& record);
    void eject(evaluation& current, const upstream_assessment& assessment, ejection_record& record);
    void restore_floor(evaluation& current);
    static void set_preferred(evaluation& current);
    static void request_verifications(const upstream_assessment& assessment,
                                      const ejection_record& record, time_point now);
    void update_scope(const upstream_assessment& assessment, ejection_record& record,
                      time_point now);
    void set_step(evaluation& current, const upstream_assessment& assessment,
                  ejection_record& record, ejection_step step);
    bool may_eject(evaluation& current, const upstream_assessment& assessment);
    void count_blocked(ejection_block_reason reason)
    {
        ++this->blocked_counts.at(static_cast<std::size_t>(reason));
    }

    node_id self;
    std::unordered_map<service_name, service_state> services;
    std::array<std::uint64_t, static_cast<std::size_t>(ejection_block_reason::count)>
        blocked_counts{};
    bool node_suspect = false;
    std::size_t reachable_peers = 0;
};

} // namespace dragonflyroad
