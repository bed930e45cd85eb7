#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// A VM that runs an upstream of the service and may receive a request.
struct vm_candidate {
    node_id vm;
    bool is_same_centre = false;
    bool is_local_vm = false;
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
/// binding: a few VMs are asked and the first good offer is accepted. The selection therefore only
/// has to avoid VMs that are known to be busy, unhealthy or unreachable, and to prefer this node's
/// data centre. Not synchronised.
class vm_selector {
public:
    void record_cost(const node_id& vm, std::chrono::milliseconds cost, time_point now);
    void record_unreachable(const node_id& vm, time_point now);
    void record_reachable(const node_id& vm);

    bool is_unreachable(const node_id& vm, time_point now) const;

    /// The best `count` candidates, best first. `response_size` is the expected size of the
    /// response; the larger it is, the more strongly VMs in this node's data centre are preferred.
    std::vector<node_id> choose(std::vector<vm_candidate> candidates, std::size_t count,
                                double response_size, random_engine& random, time_point now) const;

private:
    /// Cost of a candidate in milliseconds; lower is better.
    double score(const vm_candidate& candidate, double response_size, random_engine& random,
                 time_point now) const;

    std::map<node_id, vm_observation> observations;
};

/// A VM's reply to a reservation.
struct reservation_reply {
    node_id vm;
    /// Whether the VM offers a slot now; otherwise the request is queued there.
    bool is_offer = false;
    /// With an offer, the extra time that the request is expected to lose at this VM; otherwise the
    /// expected wait in its queue plus that time.
    std::chrono::milliseconds cost{0};
};

/// The offer with the lowest cost, or nothing when no reply is an offer.
std::optional<reservation_reply> cheapest_offer(const std::vector<reservation_reply>& replies);

/// The VM whose offer to accept now: the cheapest one, unless the expected wait at a VM where the
/// request is queued is shorter than the cost of that offer. Nothing means to keep waiting.
std::optional<node_id> best_offer(const std::vector<reservation_reply>& replies);

} // namespace dragonflyroad
