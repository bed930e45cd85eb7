#pragma once

#include "core/random.hpp"
#include "limits/fair_queue.hpp"
#include "node/decision_interfaces.hpp"
#include "node/local_decisions.hpp"
#include "routing/ejection_controller.hpp"
#include "routing/picker.hpp"
#include "routing/upstream_set.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Selects upstreams with the routing modules. While no upstream of a service has a free slot,
/// requests wait in the service's fair queue. set_upstreams() and tick() may be called by different
/// threads and run one at a time.
class routed_upstreams : public upstream_pool {
public:
    routed_upstreams(node_id self, std::uint64_t seed);

    std::optional<upstream_slot> acquire(const slot_request& request, refusal_reason& why) override;
    void record_first_byte(const upstream_slot& slot) override;
    void finish(const upstream_slot& slot, attempt_outcome outcome, bool reused) override;

    /// Replaces the announced upstreams. Upstreams that are no longer listed get no new requests.
    void set_upstreams(const std::vector<announced_upstream>& announced);

    /// Evaluates ejections and assigns free slots to waiting requests. Returns the ejection
    /// changes.
    std::vector<ejection_change> tick(const std::unordered_map<service_name, double>& floors,
                                      time_point now);

    std::size_t waiting_count() const;

    /// The ejection step of each upstream of a service.
    std::map<upstream_id, ejection_step> steps(const service_name& service) const;

private:
    struct waiter {
        const slot_request& request;
        std::condition_variable woken;
        std::optional<upstream_slot> slot;
        std::optional<refusal_reason> refused;
    };
    struct service_queue {
        std::mutex mutex;
        fair_queue order{4'096};
        std::unordered_map<queue_ticket, waiter*> waiters;
        queue_ticket next_ticket = 1;
    };

    service_queue& get_queue(const service_name& service);
    std::optional<upstream_slot> try_acquire(const slot_request& request);
    std::optional<upstream_slot> wait_for_slot(service_queue& queue, const slot_request& request,
                                               refusal_reason& why);
    void serve_waiting(service_queue& queue);
    static void refuse_waiter(service_queue& queue, const shed_request& shed);
    random_engine& random();

    std::uint64_t seed;
    upstream_set upstreams;
    ejection_controller ejections;
    std::mutex announced_mutex;
    std::map<upstream_id, announced_upstream> announced_upstreams;
    mutable std::mutex queues_mutex;
    std::unordered_map<service_name, std::unique_ptr<service_queue>> queues;
};

} // namespace dragonflyroad
