#include "node/routed_upstreams.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum picks in one call of try_acquire(). A pick fails if another request takes the slot
/// first.
constexpr int max_picks = 4;

outcome_kind to_outcome(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::success:
        return outcome_kind::success;
    case attempt_outcome::server_error:
        return outcome_kind::server_error;
    case attempt_outcome::not_run:
        return outcome_kind::shed;
    case attempt_outcome::connect_failed:
        return outcome_kind::connect_failed;
    case attempt_outcome::timed_out:
        return outcome_kind::timed_out;
    case attempt_outcome::request_fault:
        return outcome_kind::request_fault;
    case attempt_outcome::cancelled:
        return outcome_kind::cancelled;
    case attempt_outcome::broken:
        break;
    }
    return outcome_kind::broken;
}

upstream_announcement to_announcement(const announced_upstream& upstream)
{
    return {upstream.id, upstream.service, upstream.slots,
            upstream.draining ? upstream_state::draining : upstream_state::ready};
}

} // namespace

routed_upstreams::routed_upstreams(node_id self, std::uint64_t random_seed)
    : seed(random_seed), ejections(std::move(self))
{
}

random_engine& routed_upstreams::random()
{
    static std::atomic<std::uint64_t> threads = 0;
    thread_local random_engine engine{this->seed + threads++};
    return engine;
}

routed_upstreams::service_queue& routed_upstreams::get_queue(const service_name& service)
{
    const std::scoped_lock lock{this->queues_mutex};
    auto& queue = this->queues[service];
    if (queue == nullptr) {
        queue = std::make_unique<service_queue>();
    }
    return *queue;
}

std::optional<upstream_slot> routed_upstreams::try_acquire(const slot_request& request)
{
    const auto view = this->upstreams.view(request.service);
    if (view == nullptr) {
        return std::nullopt;
    }
    const pick_request criteria{request.excluded, request.is_repeatable};
    const request_attributes attributes{request.fingerprint,
                                        stable_hash(request.organisation.value), false};
    for (int attempt = 0; attempt < max_picks; ++attempt) {
        const time_point now = boot_clock::now();
        const auto chosen = pick(*view, criteria, this->random(), now);
        if (chosen == nullptr) {
            return std::nullopt;
        }
        const bool needs_fresh = chosen->needs_fresh_connection;
        if (auto running = upstream_set::begin(chosen, attributes, now)) {
            return upstream_slot{chosen->id, needs_fresh,
                                 std::make_shared<exchange>(std::move(*running))};
        }
    }
    return std::nullopt;
}

std::optional<upstream_slot> routed_upstreams::acquire(const slot_request& request,
                                                       refusal_reason& why)
{
    const auto view = this->upstreams.view(request.service);
    if (view == nullptr || !has_usable_upstream(*view, {request.excluded, request.is_repeatable})) {
        why = refusal_reason::no_healthy_upstream;
        return std::nullopt;
    }
    service_queue& queue = this->get_queue(request.service);
    {
        const std::scoped_lock lock{queue.mutex};
        if (queue.order.size() == 0) {
            if (auto slot = this->try_acquire(request)) {
                return slot;
            }
        }
    }
    return this->wait_for_slot(queue, request, why);
}

std::optional<upstream_slot> routed_upstreams::wait_for_slot(service_queue& queue,
                                                             const slot_request& request,
                                                             refusal_reason& why)
{
    waiter entry{request, {}, {}, {}};
    std::unique_lock lock{queue.mutex};
    const queue_ticket ticket = queue.next_ticket++;
    queue.waiters.emplace(ticket, &entry);
    if (const auto shed =
            queue.order.push(request.organisation, request.weight, ticket, request.deadline)) {
        refuse_waiter(queue, *shed);
    }
    this->serve_waiting(queue);
    while (!entry.slot && !entry.refused) {
        const duration left = request.deadline - boot_clock::now();
        if (left <= duration::zero()) {
            queue.order.cancel(request.organisation, ticket);
            entry.refused = refusal_reason::queue_timeout;
            break;
        }
        entry.woken.wait_for(lock, left);
    }
    queue.waiters.erase(ticket);
    if (!entry.slot) {
        why = entry.refused.value_or(refusal_reason::queue_timeout);
    }
    return std::move(entry.slot);
}

void routed_upstreams::refuse_waiter(service_queue& queue, const shed_request& shed)
{
    if (const auto found = queue.waiters.find(shed.ticket); found != queue.waiters.end()) {
        found->second->refused = shed.reason;
        found->second->woken.notify_one();
    }
}

void routed_upstreams::serve_waiting(service_queue& queue)
{
    const time_point now = boot_clock::now();
    for (const shed_request& shed : queue.order.remove_expired(now)) {
        refuse_waiter(queue, shed);
    }
    while (const auto ticket = queue.order.pop(now)) {
        const auto found = queue.waiters.find(*ticket);
        if (found == queue.waiters.end()) {
            continue;
        }
        waiter& next = *found->second;
        next.slot = this->try_acquire(next.request);
        if (!next.slot) {
            queue.order.push(next.request.organisation, next.request.weight, *ticket,
                             next.request.deadline);
            return;
        }
        next.woken.notify_one();
    }
}

void routed_upstreams::record_first_byte(const upstream_slot& slot)
{
    upstream_set::first_byte(*std::static_pointer_cast<exchange>(slot.state), boot_clock::now());
}

void routed_upstreams::finish(const upstream_slot& slot, attempt_outcome outcome, bool reused)
{
    const auto running = std::static_pointer_cast<exchange>(slot.state);
    running->mark.reused_connection = reused;
    upstream_set::finish(*running, to_outcome(outcome), boot_clock::now());
    service_queue& queue = this->get_queue(running->upstream->service);
    const std::scoped_lock lock{queue.mutex};
    this->serve_waiting(queue);
}

std::map<upstream_id, ejection_step> routed_upstreams::steps(const service_name& service) const
{
    std::map<upstream_id, ejection_step> list;
    if (const auto view = this->upstreams.view(service)) {
        for (const auto& entry : view->upstreams) {
            list[entry->id] = entry->step.load();
        }
    }
    return list;
}

void routed_upstreams::set_upstreams(const std::vector<announced_upstream>& announced)
{
    const std::scoped_lock lock{this->announced_mutex};
    const time_point now = boot_clock::now();
    std::map<upstream_id, announced_upstream> next;
    for (const announced_upstream& upstream : announced) {
        next[upstream.id] = upstream;
        this->upstreams.apply(to_announcement(upstream), now);
    }
    for (const auto& [id, earlier] : this->announced_upstreams) {
        const auto found = next.find(id);
        if (found == next.end() || found->second.service != earlier.service) {
            this->upstreams.apply({id, earlier.service, earlier.slots, upstream_state::expired},
                                  now);
            this->upstreams.remove(earlier.service, id);
        }
    }
    this->announced_upstreams = std::move(next);
}

std::vector<ejection_change>
routed_upstreams::tick(const std::unordered_map<service_name, double>& floors, time_point now)
{
    std::vector<ejection_change> changes;
    {
        const std::scoped_lock lock{this->announced_mutex};
        changes = this->ejections.tick(this->upstreams, floors, now);
    }
    const std::scoped_lock lock{this->queues_mutex};
    for (auto& [name, queue] : this->queues) {
        const std::scoped_lock queue_lock{queue->mutex};
        this->serve_waiting(*queue);
    }
    return changes;
}

std::size_t routed_upstreams::waiting_count() const
{
    std::size_t count = 0;
    const std::scoped_lock lock{this->queues_mutex};
    for (const auto& [name, queue] : this->queues) {
        const std::scoped_lock queue_lock{queue->mutex};
        count += queue->order.size();
    }
    return count;
}

} // namespace dragonflyroad
