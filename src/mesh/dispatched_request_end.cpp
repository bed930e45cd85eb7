#include "mesh/dispatched_request.hpp"

#include "adapters/log.hpp"
#include "node/refusal.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Retry-After of a request that is refused because this node stops: another VM takes it at once.
constexpr milliseconds stop_retry_after{100};

/// A new request may start after its objective only if its caller waits this many times the
/// objective. With less, a caller that is refused late has no time to return, and the slots that
/// late requests take make others late.
constexpr int min_late_objectives = 4;

} // namespace

void dispatched_request::fail_round(refusal_reason reason, ran executed, const std::string& detail)
{
    this->end_round();
    if (!this->runs.empty()) {
        return;
    }
    if (this->failed_response) {
        this->deliver(*std::exchange(this->failed_response, std::nullopt));
        return;
    }
    const bool may_have_run = this->runs_started > 0;
    this->refuse(may_have_run && executed == ran::no ? refusal_reason::upstream_failed : reason,
                 may_have_run ? ran::unknown : executed, detail);
}

void dispatched_request::fail_without_upstream(const std::string& detail)
{
    const bool is_evacuated = this->owner.directory.is_evacuated(this->accepted.service);
    this->fail_round(is_evacuated ? refusal_reason::data_centres_evacuated
                                  : refusal_reason::no_healthy_upstream,
                     ran::no, detail);
}

void dispatched_request::end_early(refusal_reason if_run, refusal_reason if_not_run)
{
    this->end_round();
    if (this->failed_response) {
        this->deliver(*std::exchange(this->failed_response, std::nullopt));
    }
    else if (this->runs_started > 0) {
        this->refuse(if_run, ran::unknown, "");
    }
    else {
        this->refuse(if_not_run, ran::no, "");
    }
}

bool dispatched_request::refuse_if_too_late_to_start()
{
    const time_point stop_at = this->owner.stop_at;
    if (stop_at == time_point{} || this->runs_started > 0 ||
        boot_clock::now() + this->expected_run() < stop_at) {
        return false;
    }
    this->answer_before_stop();
    return true;
}

milliseconds dispatched_request::late_start_within() const
{
    const time_point now = boot_clock::now();
    // A run that is cut by the deadline leaves its caller with an unknown outcome. Half of the runs
    // take longer than expected, and at an upstream that turns slow, several times as long.
    const milliseconds reserved =
        std::max(this->expected_run() * 3 / 2, this->accepted.route.latency_objective / 2);
    const milliseconds until_deadline =
        milliseconds_between(now, this->accepted.deadline) - reserved;
    if (this->runs_started > 0) {
        return std::max(until_deadline, milliseconds{1});
    }
    const auto callers_time = this->accepted.caller_deadline - this->accepted.arrived;
    if (callers_time < min_late_objectives * this->accepted.route.latency_objective) {
        return this->start_within();
    }
    // A caller that is refused after twice its objective, and before half of its time has passed,
    // has time to return.
    const milliseconds until_twice_objective =
        milliseconds_between(now,
                             this->accepted.arrived + 2 * this->accepted.route.latency_objective) -
        this->expected_run();
    const milliseconds until_half_time = milliseconds_between(
        now,
        this->accepted.arrived + (this->accepted.caller_deadline - this->accepted.arrived) / 2);
    return std::max(std::min({until_deadline, until_twice_objective, until_half_time}),
                    milliseconds{1});
}

bool dispatched_request::refuse_at_door()
{
    const time_point now = boot_clock::now();
    const auto rejection = this->owner.door.decide(
        {this->accepted.service, this->accepted.rank, now + this->late_start_within()}, now);
    if (!rejection) {
        return false;
    }
    ++this->owner.rejected_at_door;
    log_line{"rejected_at_door"}
        .add("request", this->accepted.id)
        .add("service", this->accepted.service.value)
        .add("shortest_wait_ms", rejection->retry_after.count())
        .add("start_within_ms", this->late_start_within().count())
        .add("declines", rejection->declines)
        .add("evidence_age_ms", rejection->evidence_age.count());
    this->shortest_wait = rejection->retry_after;
    this->refuse(refusal_reason::overload_shed, ran::no, "every upstream is expected to decline");
    return true;
}

bool dispatched_request::refuse_if_crash_suspect()
{
    if (!this->runs.empty() ||
        !this->owner.crashes.is_blocked(this->accepted.fingerprint, boot_clock::now())) {
        return false;
    }
    this->shortest_wait.reset();
    this->fail_round(refusal_reason::crash_suspect, ran::no, "");
    return true;
}

void dispatched_request::answer_before_stop()
{
    if (this->is_done) {
        return;
    }
    this->shortest_wait = this->shortest_wait.value_or(stop_retry_after);
    this->end_early(refusal_reason::upstream_failed, refusal_reason::node_stopping);
}

void dispatched_request::deliver(const response_message& message)
{
    http_response answer;
    answer.status = message.status;
    answer.headers = message.headers;
    answer.body = message.body;
    this->owner.counters.count_response(message.status);
    log_line{"answer"}
        .add("request", this->accepted.id)
        .add("status", message.status)
        .add("elapsed_ms", milliseconds_between(this->accepted.arrived, boot_clock::now()).count())
        .add("runs", this->runs_started);
    this->finish(std::move(answer));
}

std::optional<milliseconds> dispatched_request::retry_after(refusal_reason reason) const
{
    const time_point now = boot_clock::now();
    switch (reason) {
    case refusal_reason::overload_shed:
    case refusal_reason::queue_timeout:
    case refusal_reason::upstream_refused:
        return choose_retry_after(
            {this->shortest_wait, this->expected_run(),
             milliseconds_between(now,
                                  this->accepted.arrived + this->accepted.route.latency_objective),
             milliseconds_between(now, this->accepted.caller_deadline),
             this->owner.rejections.is_service_wide(this->accepted.service, now)},
            this->owner.random);
    default:
        break;
    }
    if (!this->shortest_wait) {
        return std::nullopt;
    }
    const milliseconds left = milliseconds_between(now, this->accepted.deadline) / 3;
    return std::clamp(*this->shortest_wait, milliseconds{100}, std::max(left, milliseconds{100}));
}

void dispatched_request::refuse(refusal_reason reason, ran executed, const std::string& detail)
{
    refusal refused;
    refused.reason = reason;
    refused.executed = executed;
    refused.detail = detail;
    refused.revision = this->accepted.revision;
    if (executed == ran::no) {
        refused.retry_after = this->retry_after(reason);
    }
    if (this->is_quota_charged && this->runs_started == 0) {
        this->quota.refund(this->accepted.organisation);
    }
    const refusal_description& description = describe(reason);
    this->owner.counters.count_refusal(reason);
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
        .add("retry_after_ms", refused.retry_after.value_or(milliseconds{0}).count())
        .add("detail", detail);
    http_response answer;
    answer.status = description.status;
    answer.headers = refusal_headers(refused, this->accepted.id);
    answer.body = refusal_body(refused, this->accepted.id);
    this->finish(std::move(answer));
}

void dispatched_request::finish(http_response answer)
{
    const auto self = this->shared_from_this();
    this->is_done = true;
    if (!this->accepted.rank.is_new_request && answer.status >= 500) {
        this->owner.on_nested_call_failed();
    }
    this->release_all();
    this->owner.counters.record_latency(boot_clock::now() - this->accepted.arrived);
    const auto function = std::exchange(this->respond_to_caller, nullptr);
    if (function != nullptr) {
        function(std::move(answer));
    }
}

void dispatched_request::release_all()
{
    this->timer.cancel();
    this->end_round();
    for (const auto& [id, run] : this->runs) {
        this->owner.send(run.vm, cancel_message{id});
        this->owner.unregister_round(id);
    }
    this->runs.clear();
}

void dispatched_request::cancel()
{
    if (std::exchange(this->is_done, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->owner.counters.count_client_disconnect();
    log_line{"caller_gone"}
        .add("request", this->accepted.id)
        .add("elapsed_ms", milliseconds_between(this->accepted.arrived, boot_clock::now()).count())
        .add("runs", this->runs_started);
    if (this->is_quota_charged && this->runs_started == 0) {
        this->quota.refund(this->accepted.organisation);
    }
    this->respond_to_caller = nullptr;
    this->release_all();
}

} // namespace dragonflyroad
