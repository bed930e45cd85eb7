#include "mesh/dispatched_request.hpp"

#include "dispatch/offer_hold.hpp"
#include "mesh/reservation_round.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Maximum open reservations of one request; further ones hardly shorten the wait.
constexpr std::size_t max_reservations = 8;

/// Highest cost at which an offer is accepted at once. Asking more VMs would hold a slot at each of
/// them.
constexpr milliseconds immediate_accept_cost{25};

/// While the organisation's quota has no holder, its request is decided again after this pause, and
/// refused this long after its arrival. The holder's planned stop leaves a gap of a few round trips
/// to the store until the next node has claimed the group.
constexpr milliseconds quota_retry_pause{40};
constexpr milliseconds quota_wait_limit{300};

/// Shortest pause before upstreams on probation are asked again, while every other one declines.
constexpr milliseconds min_probation_pause{50};

/// Number of rounds after which VMs that already had the request are not tried again; prevents
/// endless loops between VMs that do not run it.
constexpr std::size_t max_rounds = 12;

/// A request is not retried further after this many declines for lack of retry budget.
constexpr std::size_t max_retry_declines = 4;

/// Before the first run of a route at a service, the expected run time is the route's latency
/// objective divided by this.
constexpr int default_run_divisor = 3;

/// Cost of a failure that cannot be retried, expressed as waiting time in multiples of the route's
/// latency objective. Such a request is lost, whereas a wait within the objective costs nothing.
constexpr int failure_cost_objectives = 1;

/// Factor on the failure cost of a retryable call that an upstream makes. A failed call also fails
/// the calling run, which is several times as long.
constexpr int call_failure_cost_objectives = 2;

} // namespace

dispatched_request::dispatched_request(dispatcher& parent, quota_coordinator& quotas,
                                       admitted_request admitted, response_function answer)
    : owner(parent),
      quota(quotas),
      accepted(std::move(admitted)),
      respond_to_caller(std::move(answer)),
      timer(parent.context)
{
}

void dispatched_request::start()
{
    if (!this->accepted.rank.is_new_request && this->owner.retry_share_of_call) {
        this->accepted.retry_share = this->owner.retry_share_of_call(this->accepted.id);
    }
    if (this->refuse_if_crash_suspect() || this->refuse_at_door()) {
        return;
    }
    if (!this->accepted.needs_quota) {
        this->begin_round();
        return;
    }
    // Slots are reserved only once the quota admits the request: an offered slot is idle until the
    // offer is accepted, and the decision takes 200 ms when the quota's holder is partitioned.
    this->ask_quota();
}

void dispatched_request::ask_quota()
{
    this->quota.request_admission(this->owner.allocate_id(), this->accepted.organisation,
                                  [weak = this->weak_from_this()](const quota_decision& decision) {
                                      if (const auto self = weak.lock()) {
                                          self->on_quota(decision);
                                      }
                                  });
}

void dispatched_request::on_quota(const quota_decision& decision)
{
    this->is_quota_charged = decision.is_counted;
    if (this->is_done) {
        if (this->is_quota_charged && this->runs_started == 0) {
            this->quota.refund(this->accepted.organisation);
        }
        return;
    }
    if (decision.verdict == quota_verdict::admitted) {
        this->begin_round();
        return;
    }
    const time_point now = boot_clock::now();
    if (decision.verdict == quota_verdict::holder_unavailable &&
        now + quota_retry_pause < this->accepted.arrived + quota_wait_limit) {
        this->timer.expires_after(quota_retry_pause);
        this->timer.async_wait(
            [weak = this->weak_from_this()](const boost::system::error_code& error) {
                const auto self = weak.lock();
                if (!error && self != nullptr && !self->is_done) {
                    self->ask_quota();
                }
            });
        return;
    }
    this->shortest_wait = decision.retry_after;
    this->refuse(decision.verdict == quota_verdict::over_limit ? refusal_reason::organisation_rate
                                                               : refusal_reason::rights_unproved,
                 ran::no, decision.detail);
}

milliseconds dispatched_request::expected_run() const
{
    return this->owner.run_time_means.expected(this->accepted.service, this->accepted.route.name,
                                               this->accepted.route.latency_objective /
                                                   default_run_divisor);
}

milliseconds dispatched_request::start_within() const
{
    const time_point now = boot_clock::now();
    const milliseconds until_deadline =
        milliseconds_between(now, this->accepted.deadline) - this->expected_run();
    const milliseconds until_objective =
        milliseconds_between(now, this->accepted.arrived + this->accepted.route.latency_objective) -
        this->expected_run();
    // A call made by an upstream holds a slot there, so it is as urgent when it is late.
    return std::max(this->accepted.rank.is_new_request ? std::min(until_objective, until_deadline)
                                                       : until_deadline,
                    milliseconds{1});
}

milliseconds dispatched_request::failure_cost() const
{
    const bool may_run_again = this->accepted.route.is_repeatable() &&
                               this->runs_started + 1 < this->accepted.route.max_attempts;
    if (may_run_again) {
        const int objectives =
            this->accepted.rank.is_new_request ? 1 : call_failure_cost_objectives;
        return this->accepted.route.latency_objective * objectives / 2;
    }
    return this->accepted.route.latency_objective * failure_cost_objectives;
}

void dispatched_request::begin_round()
{
    this->end_round();
    this->round = this->owner.register_round(this->shared_from_this());
    this->last_reply_at = boot_clock::now();
    ++this->rounds_started;
    this->overload_declines = 0;
    this->on_probation.clear();
    this->accepts_probation = false;
    this->declined = this->attempted_vms;
    this->released_vms.clear();
    this->first_offer_at = {};
    this->offer_hold_until = {};
    if (!this->reserve_more(initial_reservations)) {
        // Every upstream of the service was tried already; try them again rather than refuse.
        this->declined.clear();
        if (this->rounds_started > max_rounds || !this->reserve_more(initial_reservations)) {
            this->fail_without_upstream("no upstream of the service is known");
            return;
        }
    }
    this->arm_tick();
}

void dispatched_request::end_round()
{
    for (const auto& [vm, reserved] : this->reservations) {
        this->owner.send(vm, release_reservation_message{this->round});
    }
    this->reservations.clear();
    if (!this->runs.contains(this->round)) {
        this->owner.unregister_round(this->round);
    }
    this->round = 0;
}

bool dispatched_request::reserve_more(std::size_t count)
{
    const time_point now = boot_clock::now();
    const std::size_t room =
        max_reservations - std::min(max_reservations, this->reservations.size());
    const vm_selection wanted{std::min(count, room), this->response_size(),
                              [this](const node_id& vm) { return this->is_excluded(vm); }};
    const auto chosen = this->owner.selector.choose(
        this->owner.directory.candidates(this->accepted.service, this->owner.self,
                                         this->owner.centre),
        wanted, this->owner.loads, this->owner.random, now);
    reserve_message message;
    message.id = this->round;
    message.service = this->accepted.service;
    message.organisation = this->accepted.organisation;
    message.rank = this->accepted.rank;
    message.is_repeatable = this->accepted.route.is_repeatable();
    message.retry_share =
        this->may_have_been_sent || !this->runs.empty() ? 1.0 : this->accepted.retry_share;
    message.accepts_probation = this->accepts_probation;
    message.start_within = this->start_within();
    message.late_start_within = this->late_start_within();
    message.failure_cost = this->failure_cost();
    message.expected_run = this->expected_run();
    message.body_bytes = this->accepted.request.body.size();
    for (const node_id& vm : chosen) {
        this->reservations[vm] = {};
        this->owner.loads.record_sent(vm, now);
    }
    for (const node_id& vm : chosen) {
        this->owner.send(vm, message);
    }
    this->next_reserve_at = now + reserve_interval;
    return !chosen.empty();
}

void dispatched_request::receive(const node_id& from, const reservation_accepted_message& message)
{
    this->owner.selector.record_reachable(from);
    this->owner.selector.record_cost(from, message.cost, boot_clock::now());
    const auto found = this->reservations.find(from);
    if (this->is_done || message.id != this->round || found == this->reservations.end()) {
        this->owner.send(from, release_reservation_message{message.id});
        return;
    }
    const time_point now = boot_clock::now();
    this->owner.door.record_accept(this->accepted.service, this->accepted.rank);
    this->last_reply_at = now;
    found->second = {true, message.is_offer, message.cost, message.load};
    if (message.is_offer && this->first_offer_at == time_point{}) {
        this->first_offer_at = now;
    }
    this->evaluate_replies();
}

void dispatched_request::receive(const node_id& from, const reservation_declined_message& message)
{
    this->owner.selector.record_reachable(from);
    this->owner.selector.record_cost(from, std::max(message.wait, milliseconds{200}),
                                     boot_clock::now());
    if (this->is_done || message.id != this->round) {
        return;
    }
    this->last_reply_at = boot_clock::now();
    this->reservations.erase(from);
    this->declined.insert(from);
    if (message.reason == decline_reason::on_probation) {
        this->on_probation.insert(from);
        this->shortest_wait = std::min(this->shortest_wait.value_or(message.wait), message.wait);
    }
    if (message.reason == decline_reason::overloaded) {
        ++this->overload_declines;
        // The decline of a reservation that expired in the queue carries no wait estimate.
        if (message.wait > milliseconds{0}) {
            this->owner.door.record_decline(this->accepted.service, this->accepted.rank,
                                            message.wait, boot_clock::now());
            this->shortest_wait =
                std::min(this->shortest_wait.value_or(message.wait), message.wait);
        }
    }
    if (message.reason == decline_reason::retry_budget_exhausted && !this->holds_good_offer() &&
        ++this->retry_declines >= max_retry_declines) {
        this->fail_round(refusal_reason::upstream_refused, ran::no,
                         "the budget for repeats is used up");
        return;
    }
    this->continue_after_decline();
}

void dispatched_request::continue_after_decline()
{
    const bool asks_more =
        !this->accepted.rank.is_new_request || !is_sample_conclusive(this->overload_declines);
    if (this->holds_good_offer() || (asks_more && this->reserve_more(additional_reservations)) ||
        !this->reservations.empty()) {
        this->evaluate_replies();
        return;
    }
    // No better offer came; an upstream with a high expected cost is better than a refusal.
    if (!std::exchange(this->released_vms, {}).empty() &&
        this->reserve_more(additional_reservations)) {
        return;
    }
    if (this->ask_upstreams_on_probation()) {
        return;
    }
    if (this->overload_declines > 0) {
        this->fail_round(refusal_reason::overload_shed, ran::no, "every upstream declined");
        return;
    }
    this->fail_without_upstream("every upstream declined");
}

bool dispatched_request::ask_upstreams_on_probation()
{
    if (this->on_probation.empty() || this->accepts_probation) {
        return false;
    }
    for (const node_id& vm : std::exchange(this->on_probation, {})) {
        this->declined.erase(vm);
    }
    const milliseconds pause =
        std::max(this->shortest_wait.value_or(min_probation_pause), min_probation_pause);
    if (pause < this->start_within()) {
        this->next_reserve_at = boot_clock::now() + pause;
        this->last_reply_at = this->next_reserve_at;
        return true;
    }
    // An upstream that fails most requests serves more callers than a refusal.
    this->accepts_probation = true;
    return this->reserve_more(additional_reservations);
}

std::vector<reservation_reply> dispatched_request::received_replies() const
{
    std::vector<reservation_reply> received;
    for (const auto& [vm, reserved] : this->reservations) {
        if (reserved.has_reply) {
            received.push_back(
                {vm, reserved.is_offer, reserved.cost, this->placement_cost(vm, reserved.load)});
        }
    }
    return received;
}

bool dispatched_request::has_unanswered_reservation() const
{
    return std::ranges::any_of(this->reservations,
                               [](const auto& item) { return !item.second.has_reply; });
}

void dispatched_request::release_offers(const std::optional<node_id>& kept)
{
    for (const auto& [vm, reserved] : std::map{this->reservations}) {
        if (reserved.is_offer && vm != kept) {
            this->owner.send(vm, release_reservation_message{this->round});
            this->reservations.erase(vm);
            this->released_vms.insert(vm);
        }
    }
}

void dispatched_request::evaluate_replies()
{
    if (this->is_done || this->round == 0 || this->refuse_if_too_late_to_start() ||
        this->refuse_if_crash_suspect()) {
        return;
    }
    const auto received = this->received_replies();
    const auto offered = cheapest_offer(received);
    if (!offered) {
        return;
    }
    // An offered slot is idle, so at most one offer is held, and only briefly.
    this->release_offers(offered->vm);
    this->offer_hold_until = offer_hold_deadline(this->first_offer_at, offered->cost);
    const bool is_held = boot_clock::now() < this->offer_hold_until;
    const bool may_be_compared = this->reservations.at(offered->vm).load.slots > 0 && is_held &&
                                 this->has_unanswered_reservation();
    if (offered->cost <= immediate_accept_cost && !may_be_compared) {
        this->hand_over(offered->vm);
        return;
    }
    if (is_held &&
        (this->has_unanswered_reservation() || this->reserve_more(additional_reservations))) {
        this->arm_tick();
        return;
    }
    if (best_offer(received)) {
        this->hand_over(offered->vm);
        return;
    }
    this->release_offers(std::nullopt);
    this->first_offer_at = {};
    this->offer_hold_until = {};
}

bool dispatched_request::holds_good_offer() const
{
    return std::ranges::any_of(this->reservations, [](const auto& item) {
        return item.second.is_offer && item.second.cost <= immediate_accept_cost;
    });
}

} // namespace dragonflyroad
