#include "mesh/upstream_runner.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// How long a slot is held for an offer: the round trip to a VM that is slowed down five times.
constexpr std::chrono::milliseconds offer_lifetime{250};

/// One offer beyond the upstream's slots is made for every this many slots. The upstream queues a
/// few requests itself, so its slots are not idle during the round trip of an offer.
constexpr std::size_t slots_per_extra_offer = 4;

} // namespace

void upstream_runner::drop_reservations(const node_id& from)
{
    const time_point now = boot_clock::now();
    std::erase_if(this->runs, [&](const auto& item) {
        const run_pointer& entry = item.second;
        if (item.first.node != from ||
            (entry->state != stage::waiting && entry->state != stage::offered)) {
            return false;
        }
        this->queue.remove(entry->ticket, now);
        this->tickets.erase(entry->ticket);
        this->withdraw_offer(entry);
        return true;
    });
    this->offer_next();
}

void upstream_runner::reserve(const node_id& from, const reserve_message& message)
{
    const time_point now = boot_clock::now();
    const run_key key = this->key_of(from, message.id);
    const auto& current = this->reports.current();
    const queued_request work{this->last_ticket + 1, message.organisation,
                              message.rank,          now + message.start_within,
                              message.expected_run,  now + message.late_start_within};
    const auto wait = this->queue.estimate(work, now).wait;
    if (!this->accepts_work(now) || current->service != message.service) {
        const auto reason =
            this->is_stopping ? decline_reason::stopping : decline_reason::no_upstream;
        this->declined_by_evacuation += this->is_evacuated ? 1 : 0;
        this->reply_to(key, reservation_declined_message{message.id, reason, wait});
        return;
    }
    if (!this->has_retry_room(message, now)) {
        this->reply_to(key, reservation_declined_message{message.id,
                                                         decline_reason::retry_budget_exhausted,
                                                         wait, this->load_report(now)});
        return;
    }
    if (!this->bodies.has_room(message.body_bytes)) {
        this->reply_to(key, reservation_declined_message{message.id, decline_reason::overloaded,
                                                         std::max(wait, this->typical_run),
                                                         this->load_report(now)});
        return;
    }
    const auto entry = std::make_shared<run>();
    entry->key = key;
    entry->ticket = ++this->last_ticket;
    entry->reservation = message;
    if (this->failing.is_active() && this->is_service_rejecting()) {
        this->failing.excuse_rejections();
    }
    if (this->failing.is_active() && !message.accepts_probation) {
        this->reserve_on_probation(entry);
        return;
    }
    if (this->queue.size() == 0 && this->may_offer(now)) {
        this->runs[entry->key] = entry;
        this->tickets[entry->ticket] = entry;
        this->offer(entry);
        return;
    }
    const auto cold_wait =
        this->pacing.wait_for(this->queue.size() + this->slots_offered, this->warm_capacity(), now);
    const auto longest_wait = std::max(message.start_within, message.late_start_within);
    const auto expected = cold_wait < longest_wait ? this->queue.push(work, now) : std::nullopt;
    this->waits_for_cold_limit += expected && this->has_free_slot() ? 1 : 0;
    if (!expected) {
        this->reply_to(key, reservation_declined_message{message.id, decline_reason::overloaded,
                                                         std::max(wait, cold_wait),
                                                         this->load_report(now)});
        return;
    }
    this->runs[entry->key] = entry;
    this->tickets[entry->ticket] = entry;
    this->reply_to(key, reservation_accepted_message{message.id, false,
                                                     std::max(expected->wait, cold_wait) +
                                                         this->reservation_cost(message, now),
                                                     this->load_report(now)});
    this->arm_timer();
}

void upstream_runner::reserve_on_probation(const run_pointer& entry)
{
    const time_point now = boot_clock::now();
    if (!this->failing.admits(entry->reservation.is_repeatable, now) || !this->may_offer(now)) {
        this->reply_to(entry->key,
                       reservation_declined_message{entry->key.id, decline_reason::on_probation,
                                                    this->failing.time_to_next_trial(now),
                                                    this->load_report(now)});
        return;
    }
    this->failing.begin_trial();
    entry->is_trial = true;
    this->runs[entry->key] = entry;
    this->tickets[entry->ticket] = entry;
    this->offer(entry);
}

void upstream_runner::decline_reserved(decline_reason reason)
{
    for (const auto& [key, entry] : std::map{this->runs}) {
        if (entry->state == stage::waiting || entry->state == stage::offered) {
            this->queue.remove(entry->ticket, boot_clock::now());
            this->withdraw_offer(entry);
            this->decline(entry, reason);
        }
    }
}

void upstream_runner::drop_reservations_of_other_services()
{
    const service_name& present = this->reports.current()->service;
    for (const auto& [key, entry] : std::map{this->runs}) {
        const bool is_reserved = entry->state == stage::waiting || entry->state == stage::offered;
        if (!is_reserved || entry->reservation.service == present) {
            continue;
        }
        this->queue.remove(entry->ticket, boot_clock::now());
        this->withdraw_offer(entry);
        this->decline(entry, decline_reason::no_upstream);
    }
}

void upstream_runner::offer(const run_pointer& entry)
{
    const time_point now = boot_clock::now();
    const auto cost = this->reservation_cost(entry->reservation, now);
    entry->state = stage::offered;
    entry->offered_until = now + offer_lifetime;
    this->upstream_retries.hold(entry->reservation.retry_share);
    ++this->slots_in_use;
    this->bodies.hold(entry->reservation.body_bytes);
    ++this->slots_offered;
    this->reply_to(entry->key,
                   reservation_accepted_message{entry->key.id, true, cost, this->load_report(now)});
    this->arm_timer();
}

std::size_t upstream_runner::max_slots_in_use() const
{
    const std::size_t slots = this->reports.current()->slots;
    return slots + slots / slots_per_extra_offer;
}

upstream_load_report upstream_runner::load_report(time_point now) const
{
    const auto& current = this->reports.current();
    if (!current || current->slots == 0) {
        return {};
    }
    const double typical =
        std::max(std::chrono::duration<double>(this->typical_run).count(), 0.001);
    const std::chrono::duration<double> drain = this->queue.drain_time(now);
    const auto slots = static_cast<std::uint32_t>(current->slots);
    const double waiting = std::ceil(drain.count() * slots / typical);
    return {static_cast<std::uint32_t>(this->slots_in_use), static_cast<std::uint32_t>(waiting),
            slots, this->typical_run};
}

void upstream_runner::withdraw_offer(const run_pointer& entry)
{
    if (entry->state == stage::offered) {
        this->upstream_retries.release(entry->reservation.retry_share);
        --this->slots_in_use;
        --this->slots_offered;
        this->bodies.release(entry->reservation.body_bytes);
        if (entry->is_trial) {
            this->failing.end_trial();
        }
    }
}

void upstream_runner::offer_next()
{
    const time_point now = boot_clock::now();
    while (this->accepts_work(now) && !this->failing.is_active() && this->may_offer(now)) {
        const auto ticket = this->queue.pop(now);
        if (!ticket) {
            return;
        }
        const auto found = this->tickets.find(*ticket);
        if (found == this->tickets.end()) {
            continue;
        }
        const run_pointer entry = found->second;
        // The retry budget may have been used up while the reservation was queued.
        if (!this->has_retry_room(entry->reservation, now)) {
            this->decline(entry, decline_reason::retry_budget_exhausted);
            continue;
        }
        if (!this->bodies.has_room(entry->reservation.body_bytes)) {
            this->decline(entry, decline_reason::overloaded);
            continue;
        }
        this->offer(entry);
    }
}

void upstream_runner::decline(const run_pointer& entry, decline_reason reason)
{
    this->tickets.erase(entry->ticket);
    this->runs.erase(entry->key);
    this->reply_to(entry->key,
                   reservation_declined_message{
                       entry->key.id, reason, {}, this->load_report(boot_clock::now())});
}

bool upstream_runner::has_retry_room(const reserve_message& reservation, time_point now)
{
    return this->upstream_retries.has_room(reservation.retry_share, this->service_upstream_count(),
                                           now);
}

void upstream_runner::release(const run_key& key)
{
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return;
    }
    const run_pointer entry = found->second;
    if (entry->state != stage::waiting && entry->state != stage::offered) {
        return;
    }
    this->queue.remove(entry->ticket, boot_clock::now());
    this->tickets.erase(entry->ticket);
    this->withdraw_offer(entry);
    this->runs.erase(found);
    this->offer_next();
}

std::chrono::milliseconds upstream_runner::reservation_cost(const reserve_message& reservation,
                                                            time_point now) const
{
    auto cost = this->health.expected_cost(now, reservation.expected_run, reservation.failure_cost,
                                           this->max_run_overrun(now));
    // An upstream that has had no request for a while costs nothing, so that a trial request is
    // sent to it. Only repeatable requests serve as trials, as they can be retried elsewhere.
    if (this->slots_in_use == 0 && reservation.is_repeatable) {
        cost = cost_when_idle(cost, this->last_run_at, now);
    }
    const auto& current = this->reports.current();
    if (current && (now < current->cold_until || this->pacing.is_cold(now))) {
        cost += reservation.expected_run;
    }
    return cost;
}

std::chrono::milliseconds upstream_runner::max_run_overrun(time_point now) const
{
    std::chrono::milliseconds longest{0};
    for (const auto& [key, entry] : this->runs) {
        if (entry->state == stage::running) {
            longest = std::max(longest, milliseconds_between(entry->started_at, now) -
                                            entry->reservation.expected_run);
        }
    }
    return longest;
}

} // namespace dragonflyroad
