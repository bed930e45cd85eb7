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

/// A VM that runs an upstream of the service, as a candidate for a request.
struct placement_candidate {
    node_id vm;
    bool is_same_centre = false;
    bool is_own = false;
};

/// What this node remembers of its last dealings with a VM. Without other news a memory loses its
/// weight within seconds, because load changes that fast.
struct vm_memory {
    std::chrono::milliseconds cost{0};
    time_point at{};
    /// No connection could be made, or it went silent, until this time.
    time_point unreachable_until{};
};

/// Chooses at which VMs a request is reserved. Load is placed by late binding: a few VMs are asked
/// and the first good offer is taken, so the choice only has to avoid VMs that are known to be
/// busy, sick or unreachable, and to prefer the own data centre. Not synchronised.
class placement {
public:
    void note_cost(const node_id& vm, std::chrono::milliseconds cost, time_point now);
    void note_unreachable(const node_id& vm, time_point now);
    void note_reachable(const node_id& vm);

    bool is_unreachable(const node_id& vm, time_point now) const;

    /// The best `count` candidates, best first. `answer_bytes` is the expected size of the answer,
    /// which is to stay in the data centre when it is large.
    std::vector<node_id> choose(std::vector<placement_candidate> candidates, std::size_t count,
                                double answer_bytes, random_engine& random, time_point now) const;

private:
    double score(const placement_candidate& candidate, double answer_bytes, random_engine& random,
                 time_point now) const;

    std::map<node_id, vm_memory> memories;
};

/// A VM's reply to a reservation.
struct placement_reply {
    node_id vm;
    /// Offers a slot now; otherwise the request waits there.
    bool is_offer = false;
    /// Expected loss at this VM when it offers, expected wait when it does not.
    std::chrono::milliseconds cost{0};
};

/// The offer with the lowest cost.
std::optional<placement_reply> cheapest_offer(const std::vector<placement_reply>& replies);

/// The offer to take now: the cheapest one, unless a VM where the request waits is expected to be
/// better by more than the wait. Nothing means to go on waiting.
std::optional<node_id> best_offer(const std::vector<placement_reply>& replies);

} // namespace dragonflyroad
