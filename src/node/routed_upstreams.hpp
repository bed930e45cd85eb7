#pragma once

#include "core/random.hpp"
#include "limits/fair_queue.hpp"
#include "node/gates.hpp"
#include "node/simple_gates.hpp"
#include "routing/ejection.hpp"
#include "routing/picker.hpp"
#include "routing/upstream_set.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Picks upstreams by the routing modules, and lets requests wait in a fair queue for each service
/// while none can take work. Announcements are applied, and tick() is called, by one controller.
class routed_upstreams : public upstream_gate {
public:
    routed_upstreams(node_id self, std::uint64_t seed);

    std::optional<upstream_place> acquire(const place_request& request,
                                          refusal_reason& why) override;
    void first_byte(const upstream_place& place) override;
    void finish(const upstream_place& place, attempt_outcome outcome, bool reused) override;

    /// Replaces what is announced; upstreams that are not listed any more get no new work.
    void set_upstreams(const std::vector<announced_upstream>& announced);

    /// Evaluates the upstreams and serves requests that wait.
    std::vector<ejection_change> tick(const std::unordered_map<service_name, double>& floors,
                                      time_point now);

    std::size_t waiting() const;

    /// The step of each upstream of a service.
    std::map<upstream_id, ejection_step> steps(const service_name& service) const;

private:
    struct waiter {
        const place_request& request;
        std::condition_variable woken;
        std::optional<upstream_place> place;
        std::optional<refusal_reason> refused;
    };
    struct service_queue {
        std::mutex mutex;
        fair_queue order{4'096};
        std::unordered_map<queue_ticket, waiter*> waiters;
        queue_ticket next_ticket = 1;
    };

    service_queue& queue_of(const service_name& service);
    std::optional<upstream_place> try_take(const place_request& request);
    std::optional<upstream_place> wait(service_queue& queue, const place_request& request,
                                       refusal_reason& why);
    void serve(service_queue& queue);
    static void drop(service_queue& queue, const shed_request& shed);
    random_engine& random();

    std::uint64_t seed;
    upstream_set upstreams;
    ejection_controller ejections;
    std::mutex announced_mutex;
    std::map<upstream_id, announced_upstream> known;
    mutable std::mutex queues_mutex;
    std::unordered_map<service_name, std::unique_ptr<service_queue>> queues;
};

} // namespace dragonflyroad
