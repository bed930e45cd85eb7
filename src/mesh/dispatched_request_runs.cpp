#include "mesh/dispatched_request.hpp"

#include "adapters/log.hpp"
#include "mesh/reservation_round.hpp"
#include "mesh/run_retention.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Time without any reply in a round after which the VMs of the service count as unreachable.
constexpr milliseconds no_reply_timeout{600};

/// A repeatable run that takes this many times the expected run time is hedged at another VM. Run
/// times vary by less than their mean; only a twentieth of the runs at healthy upstreams take
/// longer.
constexpr int hedge_delay_factor = 3;

/// A repeatable run whose link is lost is retried at another VM if its outcome is not known after
/// this time.
constexpr milliseconds lost_run_timeout{400};

/// Interval of the checks while a request runs and no reservation round is open.
constexpr milliseconds run_check_interval{100};

} // namespace

void dispatched_request::hand_over(const node_id& vm)
{
    const time_point now = boot_clock::now();
    const run_id id = this->round;
    const reservation offer = this->reservations[vm];
    this->runs[id] = {vm, now, {}};
    this->attempted_vms.insert(vm);
    ++this->runs_started;
    const bool is_late = this->accepted.rank.is_new_request &&
                         now + this->expected_run() >
                             this->accepted.arrived + this->accepted.route.latency_objective;
    this->owner.late_starts += is_late ? 1 : 0;
    run_message message;
    message.id = id;
    message.time_left = milliseconds_between(now, this->accepted.deadline);
    message.head.method = this->accepted.request.head.method;
    message.head.target = this->accepted.request.head.target;
    message.head.headers =
        forwarded_headers(this->accepted.request.head.headers, this->owner.names,
                          {this->accepted.organisation, this->accepted.caller_service});
    message.body = this->accepted.request.body;
    message.fingerprint = this->accepted.fingerprint;
    this->log_dispatch(vm, offer, now);
    this->owner.count_dispatch(this->is_same_centre(vm));
    this->reservations.erase(vm);
    this->owner.send(vm, message);
    this->end_round();
    this->arm_tick();
}

void dispatched_request::receive(const node_id& from, const response_message& message)
{
    this->owner.selector.record_reachable(from);
    const auto found = this->runs.find(message.id);
    if (this->is_done || found == this->runs.end() || found->second.vm != from) {
        return;
    }
    this->runs.erase(found);
    this->may_have_been_sent = true;
    this->owner.unregister_round(message.id);
    this->owner.rejections.record(this->accepted.service, from, false, boot_clock::now());
    if (message.status < 500) {
        this->owner.crashes.record_success(this->accepted.fingerprint, boot_clock::now());
        this->owner.run_time_means.record(this->accepted.service, this->accepted.route.name,
                                          message.elapsed, message.body.size());
        this->deliver(message);
        return;
    }
    this->owner.selector.record_cost(from, this->accepted.route.latency_objective / 2,
                                     boot_clock::now());
    this->failed_response = message;
    if (!this->runs.empty()) {
        return;
    }
    if (this->count_retry_if_allowed(retry_reason::upstream_died)) {
        this->begin_round();
        return;
    }
    this->deliver(message);
}

void dispatched_request::receive(const node_id& from, const failed_message& message)
{
    const auto found = this->runs.find(message.id);
    if (!this->is_done && found != this->runs.end() && found->second.vm == from) {
        this->fail_run(message.id, message);
    }
}

void dispatched_request::fail_run(run_id id, const failed_message& message)
{
    const node_id vm = this->runs.at(id).vm;
    this->runs.erase(id);
    this->may_have_been_sent = this->may_have_been_sent || message.kind != run_failure::not_run;
    this->owner.unregister_round(id);
    const time_point now = boot_clock::now();
    const bool is_rejection = message.kind == run_failure::refused;
    if (is_rejection) {
        this->owner.rejections.record(this->accepted.service, vm, true, now);
    }
    const bool is_service_wide =
        is_rejection && this->owner.rejections.is_service_wide(this->accepted.service, now);
    if (!is_service_wide) {
        this->owner.selector.record_cost(vm, this->accepted.route.latency_objective / 2, now);
    }
    log_line{"run_failed"}
        .add("request", this->accepted.id)
        .add("vm", vm.value)
        .add("kind", static_cast<int>(message.kind))
        .add("rejected_share", this->owner.rejections.rejected_share(this->accepted.service, now))
        .add("service_wide", is_service_wide)
        .add("detail", message.detail);
    if (!this->runs.empty() || this->round != 0) {
        return;
    }
    if (message.kind == run_failure::unknown) {
        if (this->count_retry_if_allowed(retry_reason::upstream_died)) {
            this->begin_round();
            return;
        }
        this->fail_round(refusal_reason::upstream_failed, ran::unknown, message.detail);
        return;
    }
    // The request was not executed, so it can safely go to another VM even if it is not repeatable.
    --this->runs_started;
    this->owner.counters.count_retry(message.kind == run_failure::refused
                                         ? retry_reason::not_run_by_upstream
                                         : retry_reason::connect_failed);
    this->begin_round();
}

bool dispatched_request::count_retry_if_allowed(retry_reason reason)
{
    const time_point now = boot_clock::now();
    if (!this->accepted.route.is_repeatable() ||
        this->runs_started >= this->accepted.route.max_attempts ||
        now + this->expected_run() > this->accepted.deadline) {
        return false;
    }
    this->owner.counters.count_retry(reason);
    return true;
}

void dispatched_request::on_unreachable(const node_id& node)
{
    if (this->is_done) {
        return;
    }
    for (auto& [id, run] : this->runs) {
        if (run.vm == node && run.link_lost_at == time_point{}) {
            run.link_lost_at = boot_clock::now();
        }
    }
    if (this->round != 0 && this->reservations.erase(node) > 0) {
        this->declined.insert(node);
        this->continue_after_decline();
    }
}

void dispatched_request::on_reachable(const node_id& node)
{
    for (auto& [id, run] : this->runs) {
        if (run.vm == node) {
            run.link_lost_at = {};
        }
    }
}

void dispatched_request::on_restarted(const node_id& node)
{
    for (const auto& [id, run] : std::map{this->runs}) {
        if (run.vm == node && !this->is_done) {
            this->fail_run(id, {id, run_failure::unknown, "the VM's node has started again"});
        }
    }
}

bool dispatched_request::is_running(run_id id, const node_id& node) const
{
    const auto found = this->runs.find(id);
    return found != this->runs.end() && found->second.vm == node;
}

bool dispatched_request::awaits_reply_from(const node_id& node) const
{
    return this->reservations.contains(node) ||
           std::ranges::any_of(this->runs,
                               [&](const auto& item) { return item.second.vm == node; });
}

void dispatched_request::arm_tick()
{
    const time_point now = boot_clock::now();
    time_point next = std::min(this->accepted.deadline,
                               now + (this->round != 0 ? reserve_interval : run_check_interval));
    if (this->round != 0 && this->offer_hold_until > now) {
        next = std::min(next, this->offer_hold_until);
    }
    this->timer.expires_after(std::max<duration>(next - now, duration::zero()));
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->is_done) {
            self->on_tick();
        }
    });
}

void dispatched_request::on_tick()
{
    if (boot_clock::now() >= this->accepted.deadline) {
        this->end_early(refusal_reason::deadline_exceeded, refusal_reason::queue_timeout);
        return;
    }
    if (this->refuse_if_too_late_to_start()) {
        return;
    }
    this->check_round();
    this->check_runs();
    // Whatever the checks have decided, the deadline of an unanswered request is still to be
    // checked.
    if (!this->is_done) {
        this->arm_tick();
    }
}

void dispatched_request::check_round()
{
    if (this->round == 0) {
        return;
    }
    const time_point now = boot_clock::now();
    if (now > this->last_reply_at + no_reply_timeout && this->received_replies().empty()) {
        this->fail_round(refusal_reason::no_healthy_upstream, ran::no,
                         "no VM of the service replies");
        return;
    }
    if (now >= this->next_reserve_at && !this->holds_good_offer()) {
        this->reserve_more(additional_reservations);
    }
    this->evaluate_replies();
}

void dispatched_request::check_runs()
{
    const time_point now = boot_clock::now();
    for (const auto& [id, run] : std::map{this->runs}) {
        const bool is_lost = run.link_lost_at != time_point{};
        if (is_lost && now > run.link_lost_at + outcome_retention) {
            this->fail_run(id, {id, run_failure::unknown, "the VM that runs it is unreachable"});
            continue;
        }
        if (is_lost) {
            this->owner.reconnect(run.vm);
        }
        const bool is_late = now > run.started_at + hedge_delay_factor * this->expected_run();
        const bool is_overdue = is_late || (is_lost && now > run.link_lost_at + lost_run_timeout);
        if (is_overdue && this->runs.size() == 1 && this->round == 0 && !this->is_done &&
            this->count_retry_if_allowed(is_lost ? retry_reason::timed_out
                                                 : retry_reason::hedged)) {
            this->begin_round();
        }
    }
}

} // namespace dragonflyroad
