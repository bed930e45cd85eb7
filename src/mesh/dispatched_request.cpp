#include "mesh/dispatched_request.hpp"

#include "adapters/log.hpp"
#include "node/refusal.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// VMs asked at once, first and whenever there is no good offer yet. Two choices remove most of the
/// imbalance; each reservation costs two small messages.
constexpr std::size_t first_asked = 2;
constexpr std::size_t more_asked = 2;

/// VMs at which one request waits at most; beyond that more reservations shorten the wait little.
constexpr std::size_t most_reservations = 8;

/// Without a good offer more VMs are asked after this time: a few round trips between data centres.
constexpr milliseconds ask_interval{20};

/// An offer with a cost up to this is taken at once: asking more VMs holds slots at each of them.
constexpr milliseconds small_cost{25};

/// How long a dearer offer is held while other VMs are asked: one round trip between data centres
/// and the replies of slow VMs. The slot stands idle meanwhile.
constexpr milliseconds hold_limit{12};

/// Without any reply for this time no VM can be reached.
constexpr milliseconds no_reply_limit{600};

/// A repeatable run that takes this many times the usual is started once more elsewhere. Run times
/// spread by less than their mean; a twentieth of sound runs is longer.
constexpr int slow_run_factor = 3;

/// How long the outcome of a repeatable run is awaited while its VM is out of reach.
constexpr milliseconds lost_run_limit{400};

/// Rounds of reservations of one request, against endless loops between VMs that decline.
constexpr std::size_t most_rounds = 12;

/// VMs that are asked for a repeat although others have no budget for it left.
constexpr std::size_t most_repeats_declined = 4;

/// Before the first run of a route its time is taken to be this part of its objective.
constexpr int objective_per_run = 3;

/// Objectives of waiting time that a failure is worth. A request that may not run again is lost for
/// good, while one that waits within its objective loses nothing.
constexpr int objectives_per_failure = 1;

/// A call that fails takes its caller's run with it, which is several times as long.
constexpr int objectives_per_call = 2;

/// Interval of the checks while a request runs.
constexpr milliseconds run_check_interval{100};

} // namespace

dispatched_request::dispatched_request(dispatcher& owner, quota_desk& quotas,
                                       accepted_request taken, answer_function answer)
    : shared(owner),
      quota(quotas),
      accepted(std::move(taken)),
      answer_caller(std::move(answer)),
      timer(owner.context)
{
}

void dispatched_request::start()
{
    if (!this->accepted.needs_quota) {
        this->begin_round();
        return;
    }
    // Slots are asked for only when the organisation may use them: a slot that is offered stands
    // idle until the offer is taken, and a keeper that is cut off answers after 200 ms.
    this->quota.ask(this->shared.draw_id(), this->accepted.organisation,
                    [weak = this->weak_from_this()](const quota_decision& decision) {
                        if (const auto self = weak.lock()) {
                            self->on_quota(decision);
                        }
                    });
}

void dispatched_request::on_quota(const quota_decision& decision)
{
    this->is_counted = decision.is_counted;
    if (this->is_done) {
        if (this->is_counted && this->runs_started == 0) {
            this->quota.give_back(this->accepted.organisation);
        }
        return;
    }
    if (decision.verdict == quota_verdict::admitted) {
        this->begin_round();
        return;
    }
    this->shortest_wait = decision.retry_after;
    this->refuse(decision.verdict == quota_verdict::over_limit ? refusal_reason::organisation_rate
                                                               : refusal_reason::rights_unproved,
                 ran::no, decision.evidence);
}

milliseconds dispatched_request::expected_run() const
{
    return this->shared.times.expected(this->accepted.service, this->accepted.route.name,
                                       this->accepted.route.objective / objective_per_run);
}

milliseconds dispatched_request::start_within() const
{
    const time_point now = boot_clock::now();
    const milliseconds run = this->expected_run();
    const milliseconds until_deadline = milliseconds_between(now, this->accepted.deadline) - run;
    const milliseconds until_objective =
        milliseconds_between(now, this->accepted.arrived + this->accepted.route.objective) - run;
    // A call holds its caller's slot, so ending it late is better than losing the work behind it.
    const bool may_be_late = !this->accepted.rank.is_new_request || this->runs_started > 0;
    return std::max(may_be_late ? until_deadline : std::min(until_objective, until_deadline),
                    milliseconds{1});
}

milliseconds dispatched_request::failure_cost() const
{
    const bool may_run_again = this->accepted.route.may_repeat() &&
                               this->runs_started + 1 < this->accepted.route.max_attempts;
    if (may_run_again) {
        const int objectives = this->accepted.rank.is_new_request ? 1 : objectives_per_call;
        return this->accepted.route.objective * objectives / 2;
    }
    return this->accepted.route.objective * objectives_per_failure;
}

void dispatched_request::begin_round()
{
    this->end_round();
    this->round = this->shared.register_round(this->shared_from_this());
    this->heard_at = boot_clock::now();
    ++this->rounds_started;
    this->was_overloaded = false;
    this->declined = this->tried;
    this->passed_over.clear();
    this->hold_until = {};
    if (!this->ask_more(first_asked)) {
        // Every upstream of the service has had the request; a second try there beats none.
        this->declined.clear();
        if (this->rounds_started > most_rounds || !this->ask_more(first_asked)) {
            this->repeat_or_refuse(refusal_reason::no_healthy_upstream, ran::no,
                                   "no upstream of the service is known");
            return;
        }
    }
    this->arm_tick();
}

void dispatched_request::end_round()
{
    for (const auto& [vm, place] : this->reservations) {
        this->shared.send(vm, release_message{this->round});
    }
    this->reservations.clear();
    if (!this->runs.contains(this->round)) {
        this->shared.end_round(this->round);
    }
    this->round = 0;
}

std::vector<placement_candidate> dispatched_request::unasked_vms() const
{
    auto candidates = this->shared.directory.candidates(this->accepted.service, this->shared.self,
                                                        this->shared.centre);
    std::erase_if(candidates, [&](const placement_candidate& candidate) {
        return this->reservations.contains(candidate.vm) || this->declined.contains(candidate.vm) ||
               this->passed_over.contains(candidate.vm);
    });
    return candidates;
}

bool dispatched_request::ask_more(std::size_t count)
{
    const time_point now = boot_clock::now();
    const std::size_t room =
        most_reservations - std::min(most_reservations, this->reservations.size());
    const double answer_bytes =
        this->shared.times.answer_bytes(this->accepted.service, this->accepted.route.name);
    const auto chosen = this->shared.places.choose(this->unasked_vms(), std::min(count, room),
                                                   answer_bytes, this->shared.random, now);
    reserve_message message;
    message.id = this->round;
    message.service = this->accepted.service;
    message.organisation = this->accepted.organisation;
    message.rank = this->accepted.rank;
    message.is_repeatable = this->accepted.route.may_repeat();
    message.is_repeat = this->was_sent || !this->runs.empty();
    message.start_within = this->start_within();
    message.failure_cost = this->failure_cost();
    message.expected_run = this->expected_run();
    for (const node_id& vm : chosen) {
        this->reservations[vm] = {};
    }
    for (const node_id& vm : chosen) {
        this->shared.send(vm, message);
    }
    this->next_ask = now + ask_interval;
    return !chosen.empty();
}

void dispatched_request::receive(const node_id& from, const place_message& message)
{
    this->shared.places.note_reachable(from);
    this->shared.places.note_cost(from, message.cost, boot_clock::now());
    const auto found = this->reservations.find(from);
    if (this->is_done || message.id != this->round || found == this->reservations.end()) {
        this->shared.send(from, release_message{message.id});
        return;
    }
    const time_point now = boot_clock::now();
    this->heard_at = now;
    found->second = {true, message.is_offer, message.cost};
    if (message.is_offer && this->hold_until == time_point{}) {
        this->hold_until = now + hold_limit;
    }
    this->decide();
}

void dispatched_request::receive(const node_id& from, const decline_message& message)
{
    this->shared.places.note_reachable(from);
    this->shared.places.note_cost(from, std::max(message.wait, milliseconds{200}),
                                  boot_clock::now());
    if (this->is_done || message.id != this->round) {
        return;
    }
    this->heard_at = boot_clock::now();
    this->reservations.erase(from);
    this->declined.insert(from);
    if (message.reason == decline_reason::overloaded) {
        this->was_overloaded = true;
        // A place that expired tells no wait.
        if (message.wait > milliseconds{0}) {
            this->shortest_wait =
                std::min(this->shortest_wait.value_or(message.wait), message.wait);
        }
    }
    if (message.reason == decline_reason::repeat_budget &&
        ++this->repeats_declined >= most_repeats_declined) {
        this->repeat_or_refuse(refusal_reason::upstream_refused, ran::no,
                               "the budget for repeats is used up");
        return;
    }
    this->after_decline();
}

void dispatched_request::after_decline()
{
    if (this->ask_more(more_asked) || !this->reservations.empty()) {
        this->decide();
        return;
    }
    // Nothing better came; an upstream that fails some requests beats a refusal.
    if (!std::exchange(this->passed_over, {}).empty() && this->ask_more(more_asked)) {
        return;
    }
    this->repeat_or_refuse(this->was_overloaded ? refusal_reason::overload_shed
                                                : refusal_reason::no_healthy_upstream,
                           ran::no, "every upstream declined");
}

std::vector<placement_reply> dispatched_request::replies() const
{
    std::vector<placement_reply> given;
    for (const auto& [vm, place] : this->reservations) {
        if (place.has_reply) {
            given.push_back({vm, place.is_offer, place.cost});
        }
    }
    return given;
}

bool dispatched_request::awaits_reply() const
{
    return std::ranges::any_of(this->reservations,
                               [](const auto& item) { return !item.second.has_reply; });
}

void dispatched_request::return_offers(const std::optional<node_id>& kept)
{
    for (const auto& [vm, place] : std::map{this->reservations}) {
        if (place.is_offer && vm != kept) {
            this->shared.send(vm, release_message{this->round});
            this->reservations.erase(vm);
            this->passed_over.insert(vm);
        }
    }
}

void dispatched_request::decide()
{
    if (this->is_done || this->round == 0) {
        return;
    }
    const auto given = this->replies();
    const auto offered = cheapest_offer(given);
    if (!offered) {
        return;
    }
    // A slot that is offered stands idle, so one offer at most is held, and not for long.
    this->return_offers(offered->vm);
    if (offered->cost <= small_cost) {
        this->hand_over(offered->vm);
        return;
    }
    if (boot_clock::now() < this->hold_until &&
        (this->awaits_reply() || this->ask_more(more_asked))) {
        return;
    }
    if (best_offer(given)) {
        this->hand_over(offered->vm);
        return;
    }
    this->return_offers(std::nullopt);
    this->hold_until = {};
}

void dispatched_request::hand_over(const node_id& vm)
{
    const time_point now = boot_clock::now();
    const run_id id = this->round;
    const reservation taken = this->reservations[vm];
    this->runs[id] = {vm, now, {}};
    this->tried.insert(vm);
    ++this->runs_started;
    run_message message;
    message.id = id;
    message.time_left = milliseconds_between(now, this->accepted.deadline);
    message.head.method = this->accepted.request.head.method;
    message.head.target = this->accepted.request.head.target;
    message.head.headers =
        forwarded_headers(this->accepted.request.head.headers, this->shared.names,
                          {this->accepted.organisation, this->accepted.caller_service});
    message.body = this->accepted.request.body;
    log_line{"dispatch"}
        .add("request", this->accepted.id)
        .add("service", this->accepted.service.value)
        .add("vm", vm.value)
        .add("cost_ms", taken.cost.count())
        .add("waited_ms", milliseconds_between(this->accepted.arrived, now).count())
        .add("asked", this->reservations.size() + this->declined.size())
        .add("run", this->runs_started);
    this->reservations.erase(vm);
    this->shared.send(vm, message);
    this->end_round();
    this->arm_tick();
}

void dispatched_request::receive(const node_id& from, const answer_message& message)
{
    this->shared.places.note_reachable(from);
    const auto found = this->runs.find(message.id);
    if (this->is_done || found == this->runs.end() || found->second.vm != from) {
        return;
    }
    this->runs.erase(found);
    this->was_sent = true;
    this->shared.end_round(message.id);
    if (message.status < 500) {
        this->shared.times.note(this->accepted.service, this->accepted.route.name, message.elapsed,
                                message.body.size());
        this->deliver(message);
        return;
    }
    this->shared.places.note_cost(from, this->accepted.route.objective / 2, boot_clock::now());
    this->failed_answer = message;
    if (!this->runs.empty()) {
        return;
    }
    if (this->may_repeat(retry_reason::upstream_died)) {
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
    this->was_sent = this->was_sent || message.kind != run_failure::not_run;
    this->shared.end_round(id);
    this->shared.places.note_cost(vm, this->accepted.route.objective / 2, boot_clock::now());
    log_line{"run_failed"}
        .add("request", this->accepted.id)
        .add("vm", vm.value)
        .add("kind", static_cast<int>(message.kind))
        .add("detail", message.detail);
    if (!this->runs.empty() || this->round != 0) {
        return;
    }
    if (message.kind == run_failure::unknown) {
        if (this->may_repeat(retry_reason::upstream_died)) {
            this->begin_round();
            return;
        }
        this->repeat_or_refuse(refusal_reason::upstream_failed, ran::unknown, message.detail);
        return;
    }
    // Nothing has run, so the request goes elsewhere whatever its kind.
    --this->runs_started;
    this->shared.counters.count_retry(message.kind == run_failure::refused
                                          ? retry_reason::not_run_by_upstream
                                          : retry_reason::connect_failed);
    this->begin_round();
}

bool dispatched_request::may_repeat(retry_reason reason)
{
    const time_point now = boot_clock::now();
    if (!this->accepted.route.may_repeat() ||
        this->runs_started >= this->accepted.route.max_attempts ||
        now + this->expected_run() > this->accepted.deadline) {
        return false;
    }
    this->shared.counters.count_retry(reason);
    return true;
}

void dispatched_request::repeat_or_refuse(refusal_reason reason, ran executed,
                                          const std::string& detail)
{
    this->end_round();
    if (!this->runs.empty()) {
        return;
    }
    if (this->failed_answer) {
        this->deliver(*std::exchange(this->failed_answer, std::nullopt));
        return;
    }
    const bool may_have_run = this->runs_started > 0;
    this->refuse(may_have_run && executed == ran::no ? refusal_reason::upstream_failed : reason,
                 may_have_run ? ran::unknown : executed, detail);
}

void dispatched_request::on_unreachable(const node_id& node)
{
    if (this->is_done) {
        return;
    }
    for (auto& [id, run] : this->runs) {
        if (run.vm == node && run.lost_at == time_point{}) {
            run.lost_at = boot_clock::now();
        }
    }
    if (this->round != 0 && this->reservations.erase(node) > 0) {
        this->declined.insert(node);
        this->after_decline();
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

bool dispatched_request::awaits(const node_id& node) const
{
    return this->reservations.contains(node) ||
           std::ranges::any_of(this->runs,
                               [&](const auto& item) { return item.second.vm == node; });
}

void dispatched_request::arm_tick()
{
    const time_point now = boot_clock::now();
    const time_point next = std::min(this->accepted.deadline,
                                     now + (this->round != 0 ? ask_interval : run_check_interval));
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
    const time_point now = boot_clock::now();
    if (now >= this->accepted.deadline) {
        this->end_round();
        if (this->failed_answer) {
            this->deliver(*std::exchange(this->failed_answer, std::nullopt));
        }
        else if (this->runs_started > 0) {
            this->refuse(refusal_reason::deadline_exceeded, ran::unknown, "");
        }
        else {
            this->refuse(refusal_reason::queue_timeout, ran::no, "");
        }
        return;
    }
    if (this->round != 0) {
        if (now > this->heard_at + no_reply_limit && this->replies().empty()) {
            this->repeat_or_refuse(refusal_reason::no_healthy_upstream, ran::no,
                                   "no VM of the service replies");
            return;
        }
        if (now >= this->next_ask) {
            this->ask_more(more_asked);
        }
        this->decide();
    }
    for (const auto& [id, run] : std::map{this->runs}) {
        const bool is_lost = run.lost_at != time_point{};
        if (is_lost) {
            this->shared.reconnect(run.vm);
        }
        const bool is_late = now > run.started_at + slow_run_factor * this->expected_run();
        const bool is_overdue = is_late || (is_lost && now > run.lost_at + lost_run_limit);
        if (is_overdue && this->runs.size() == 1 && this->round == 0 && !this->is_done &&
            this->may_repeat(is_lost ? retry_reason::timed_out : retry_reason::hedged)) {
            this->begin_round();
        }
    }
    if (!this->is_done) {
        this->arm_tick();
    }
}

void dispatched_request::deliver(const answer_message& message)
{
    http_answer answer;
    answer.status = message.status;
    answer.headers = message.headers;
    answer.body = message.body;
    this->shared.counters.count_answer(message.status);
    log_line{"answer"}
        .add("request", this->accepted.id)
        .add("status", message.status)
        .add("elapsed_ms", milliseconds_between(this->accepted.arrived, boot_clock::now()).count())
        .add("runs", this->runs_started);
    this->finish(std::move(answer));
}

void dispatched_request::refuse(refusal_reason reason, ran executed, const std::string& detail)
{
    refusal refused;
    refused.reason = reason;
    refused.executed = executed;
    refused.detail = detail;
    refused.revision = this->accepted.revision;
    if (executed == ran::no && this->shortest_wait) {
        const milliseconds left =
            milliseconds_between(boot_clock::now(), this->accepted.deadline) / 3;
        refused.retry_after =
            std::clamp(*this->shortest_wait, milliseconds{100}, std::max(left, milliseconds{100}));
    }
    if (this->is_counted && this->runs_started == 0) {
        this->quota.give_back(this->accepted.organisation);
    }
    const refusal_description& description = describe(reason);
    this->shared.counters.count_refusal(reason);
    log_line{"refusal"}
        .add("request", this->accepted.id)
        .add("reason", description.code)
        .add("ran", to_code(executed))
        .add("organisation", this->accepted.organisation.value)
        .add("route", this->accepted.route.name.value)
        .add("service", this->accepted.service.value)
        .add("revision", this->accepted.revision)
        .add("elapsed_ms", milliseconds_between(this->accepted.arrived, boot_clock::now()).count())
        .add("declined", this->declined.size())
        .add("detail", detail);
    http_answer answer;
    answer.status = description.status;
    answer.headers = refusal_headers(refused, this->accepted.id);
    answer.body = refusal_body(refused, this->accepted.id);
    this->finish(std::move(answer));
}

void dispatched_request::finish(http_answer answer)
{
    const auto self = this->shared_from_this();
    this->is_done = true;
    if (!this->accepted.rank.is_new_request && answer.status >= 500) {
        this->shared.call_failed();
    }
    this->release_all();
    this->shared.counters.record_latency(boot_clock::now() - this->accepted.arrived);
    const auto function = std::exchange(this->answer_caller, nullptr);
    if (function != nullptr) {
        function(std::move(answer));
    }
}

void dispatched_request::release_all()
{
    this->timer.cancel();
    this->end_round();
    for (const auto& [id, run] : this->runs) {
        this->shared.send(run.vm, cancel_message{id});
        this->shared.end_round(id);
    }
    this->runs.clear();
}

void dispatched_request::cancel()
{
    if (std::exchange(this->is_done, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->shared.counters.count_lost_client();
    log_line{"caller_gone"}
        .add("request", this->accepted.id)
        .add("elapsed_ms", milliseconds_between(this->accepted.arrived, boot_clock::now()).count())
        .add("runs", this->runs_started);
    if (this->is_counted && this->runs_started == 0) {
        this->quota.give_back(this->accepted.organisation);
    }
    this->answer_caller = nullptr;
    this->release_all();
}

} // namespace dragonflyroad
