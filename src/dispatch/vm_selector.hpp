#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "dispatch/service_load.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflyroad {

/// A VM that runs an upstream of the service and may receive a request.
struct vm_candidate {
    node_id vm;
    bool is_same_centre = false;
    bool is_local_vm = false;
};

/// The VMs that run upstreams of one service, parted by data centre. Selections reorder each part.
struct service_candidates {
    service_candidates() = default;
    explicit service_candidates(const std::vector<vm_candidate>& candidates);

    std::vector<vm_candidate> same_centre;
    std::vector<vm_candidate> other_centres;
};

/// What a selection is for.
struct vm_selection {
    std::size_t count = 0;
    /// Expected size of the response; the larger it is, the more strongly VMs in this node's data
    /// centre are preferred.
    double response_size = 0;
    /// VMs that are not chosen, such as those that have declined the request.
    std::function<bool(const node_id&)> is_excluded = [](const node_id&) { return false; };
};

/// The latest cost and reachability that this node observed at a VM. An observation that is not
/// renewed loses its weight within seconds, because load changes that fast.
struct vm_observation {
    std::chrono::milliseconds cost{0};
    time_point cost_at{};
    /// The VM counts as unreachable until this time: connecting failed or the connection went
    /// silent.
    time_point unreachable_until{};
    /// Failures to reach the VM since it last replied.
    int failures = 0;
};

/// Selects the VMs that are asked to reserve a slot for a request. Load is balanced by late
/// binding: a few VMs are asked and the best offer is accepted.
///
/// Answers this load: many nodes choose at the same moment and each knows little of the others.
/// They must not all ask the upstream that looked best in the latest reports, and an upstream must
/// not be asked again and again while others idle. So each selection scores a bounded random sample
/// of the VMs. It takes those with the shortest expected wait, which includes what this node has
/// sent since the report, and among equals those that this node has not asked for longest. VMs of
/// other data centres are chosen once waiting in this one costs more than the traffic.
/// Not synchronised.
class vm_selector {
public:
    void record_cost(const node_id& vm, std::chrono::milliseconds cost, time_point now);
    void record_unreachable(const node_id& vm, time_point now);
    void record_reachable(const node_id& vm);

    bool is_unreachable(const node_id& vm, time_point now) const;

    /// The best candidates of the sample, best first. Reorders `candidates`.
    std::vector<node_id> choose(service_candidates& candidates, const vm_selection& wanted,
                                const service_load& loads, random_engine& random,
                                time_point now) const;

private:
    using scored_vm = std::pair<double, const node_id*>;

    /// Scores a random sample of up to `limit` VMs that can be chosen.
    void score_sample(std::vector<vm_candidate>& candidates, std::size_t limit,
                      const vm_selection& wanted, const service_load& loads, random_engine& random,
                      time_point now, std::vector<scored_vm>& scored) const;
    /// Cost of a candidate in milliseconds; lower is better.
    double score(const vm_candidate& candidate, const load_estimate& load, double response_size,
                 random_engine& random, time_point now) const;

    std::unordered_map<node_id, vm_observation> observations;
};

/// What the traffic of a request to another data centre costs, as waiting time in milliseconds.
double other_centre_cost(double response_size);

/// What an offer of an upstream with this load costs in milliseconds, beyond the expected loss that
/// it states. 0 when the load is not known.
double offer_load_cost(const upstream_load_report& load);

/// A VM's reply to a reservation.
struct reservation_reply {
    node_id vm;
    /// Whether the VM offers a slot now; otherwise the request is queued there.
    bool is_offer = false;
    /// With an offer, the extra time that the request is expected to lose at this VM; otherwise the
    /// expected wait in its queue plus that time.
    std::chrono::milliseconds cost{0};
    /// Orders offers: what the load of the VM and the traffic to it cost, in milliseconds.
    double placement_cost = 0;
};

/// The offer with the lowest total cost, or nothing when no reply is an offer.
std::optional<reservation_reply> cheapest_offer(const std::vector<reservation_reply>& replies);

/// The VM whose offer to accept now: the cheapest one, unless the expected wait at a VM where the
/// request is queued is shorter than the cost of that offer. Nothing means to keep waiting.
std::optional<node_id> best_offer(const std::vector<reservation_reply>& replies);

} // namespace dragonflyroad
