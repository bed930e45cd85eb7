#include "node/forwarder.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"
#include "node/response_relay.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

/// Timeout of the connection attempt that checks whether an upstream has crashed after its
/// connection broke.
constexpr std::chrono::milliseconds crash_probe_timeout{200};

std::string_view to_text(exchange_outcome end)
{
    switch (end) {
    case exchange_outcome::complete:
        return "complete";
    case exchange_outcome::connect_failed:
        return "connect_failed";
    case exchange_outcome::timed_out:
        return "timed_out";
    case exchange_outcome::broken:
        return "broken";
    case exchange_outcome::invalid_answer:
        return "invalid_answer";
    case exchange_outcome::cancelled:
        break;
    }
    return "cancelled";
}

attempt_outcome classify(const exchange_result& result, const response_relay& relay)
{
    if (relay.is_not_run() && result.end != exchange_outcome::connect_failed) {
        return attempt_outcome::not_run;
    }
    switch (result.end) {
    case exchange_outcome::complete:
        return relay.status() >= 500 ? attempt_outcome::server_error : attempt_outcome::success;
    case exchange_outcome::connect_failed:
        return attempt_outcome::connect_failed;
    case exchange_outcome::timed_out:
        return attempt_outcome::timed_out;
    case exchange_outcome::cancelled:
        return attempt_outcome::cancelled;
    case exchange_outcome::broken:
    case exchange_outcome::invalid_answer:
        break;
    }
    return attempt_outcome::broken;
}

bool is_set_by_node(const std::string& name)
{
    constexpr std::array names{"Authorization", "X-Organisation", "X-Request-Id", "X-Deadline-Ms"};
    return std::ranges::any_of(
        names, [&](std::string_view known) { return equal_ignoring_case(known, name); });
}

std::int64_t milliseconds_until(time_point time)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(time - boot_clock::now());
    return std::max<std::int64_t>(left.count(), 0);
}

} // namespace

struct forwarder::attempt {
    upstream_slot slot;
    exchange_result result;
    attempt_outcome outcome = attempt_outcome::connect_failed;
    int status = 0;
    bool lost_client = false;
    bool needs_fresh_connection = false;

    bool is_answered() const
    {
        return this->outcome == attempt_outcome::success ||
               this->outcome == attempt_outcome::server_error;
    }

    attempt_failure failure() const
    {
        if (this->outcome == attempt_outcome::not_run) {
            return attempt_failure::not_run;
        }
        switch (this->result.end) {
        case exchange_outcome::complete:
            return attempt_failure::answered;
        case exchange_outcome::connect_failed:
            return attempt_failure::connect_failed;
        case exchange_outcome::timed_out:
            return attempt_failure::timed_out;
        case exchange_outcome::broken:
        case exchange_outcome::invalid_answer:
        case exchange_outcome::cancelled:
            break;
        }
        return this->result.reused && this->status == 0 ? attempt_failure::stale_connection
                                                        : attempt_failure::broken;
    }

    refusal_reason reason(time_point deadline) const
    {
        if (this->outcome == attempt_outcome::not_run) {
            return refusal_reason::upstream_refused;
        }
        if (boot_clock::now() >= deadline) {
            return refusal_reason::deadline_exceeded;
        }
        return this->outcome == attempt_outcome::connect_failed
                   ? refusal_reason::no_healthy_upstream
                   : refusal_reason::upstream_failed;
    }
};

forwarder::forwarder(std::shared_ptr<transport> connections, decision_interfaces choices,
                     metrics& counts)
    : upstream_client(std::move(connections)), decisions(std::move(choices)), counters(counts)
{
}

std::optional<refusal> forwarder::forward(request_context& context)
{
    std::vector<upstream_id> tried;
    refusal failed{refusal_reason::no_healthy_upstream, ran::no, "", {}, 0, {}};
    this->decisions.retries->record_request({context.service, context.caller_organisation->id},
                                            *context.service_profile);
    bool needs_fresh_connection = false;
    for (std::uint32_t attempts = 1;; ++attempts) {
        refusal_reason why = refusal_reason::no_healthy_upstream;
        auto slot = this->acquire_slot(context, tried, why);
        if (!slot) {
            // After a failed attempt, report its reason rather than the lack of another upstream.
            failed.reason = attempts == 1 ? why : failed.reason;
            break;
        }
        attempt current;
        current.slot = std::move(*slot);
        current.needs_fresh_connection = needs_fresh_connection;
        this->run_attempt(context, current);
        if (current.is_answered() || context.exchange.has_sent()) {
            this->finish_response(context, current);
            return std::nullopt;
        }
        failed.reason = current.reason(context.deadline);
        failed.detail = current.result.detail;
        const auto again = this->may_retry(context, current, attempts);
        if (!again) {
            break;
        }
        needs_fresh_connection = *again == retry_reason::stale_connection;
        if (!needs_fresh_connection) {
            tried.push_back(current.slot.upstream);
        }
    }
    failed.executed = context.executed;
    if (failed.executed == ran::no) {
        failed.retry_after = std::chrono::seconds{1};
    }
    return failed;
}

std::optional<upstream_slot> forwarder::acquire_slot(const request_context& context,
                                                     const std::vector<upstream_id>& tried,
                                                     refusal_reason& why)
{
    slot_request request;
    request.service = context.service;
    request.organisation = context.caller_organisation->id;
    request.weight = context.caller_organisation->weight;
    request.fingerprint = context.fingerprint;
    request.is_repeatable = context.is_repeatable;
    request.excluded = tried;
    request.deadline =
        std::min(context.deadline, boot_clock::now() + context.service_profile->queue_timeout);
    return this->decisions.upstreams->acquire(request, why);
}

outbound_request forwarder::build_request(const request_context& context) const
{
    const request_head& head = context.exchange.head();
    outbound_request request;
    request.method = head.method;
    request.target = head.target;
    request.headers = end_to_end_headers(head.headers);
    std::erase_if(request.headers,
                  [](const http_header& header) { return is_set_by_node(header.name); });
    request.headers.push_back({"X-Organisation", context.caller_organisation->id.value});
    request.headers.push_back(
        {"X-Deadline-Ms", std::to_string(milliseconds_until(context.deadline))});
    request.headers.push_back({"X-Request-Id", context.id});
    request.body = context.body;
    request.deadline = context.deadline;
    request.idle_timeout = context.service_profile->idle_timeout;
    request.is_unsafe = !context.is_repeatable;
    return request;
}

void forwarder::run_attempt(request_context& context, attempt& current)
{
    response_relay relay{context.exchange, context.id,
                         [&] { this->decisions.upstreams->record_first_byte(current.slot); }};
    outbound_request request = this->build_request(context);
    request.needs_fresh_connection =
        current.needs_fresh_connection || current.slot.needs_fresh_connection;
    cancellation cancel;
    const time_point began = boot_clock::now();
    current.result = this->upstream_client->exchange(current.slot.upstream, request, relay, cancel);
    context.upstream_time += boot_clock::now() - began;
    current.outcome = classify(current.result, relay);
    current.status = relay.status();
    if (current.is_answered()) {
        relay.finish();
    }
    current.lost_client = relay.has_lost_client();
    this->detect_crash(context, current);
    this->decisions.upstreams->finish(current.slot, current.outcome, current.result.reused);
    this->record_execution(context, current);
}

/// Detects a crash of the upstream and decides whether to attribute it to the request.
void forwarder::detect_crash(request_context& context, attempt& current)
{
    if (current.outcome != attempt_outcome::broken || !current.result.sent) {
        return;
    }
    const upstream_id& upstream = current.slot.upstream;
    if (this->upstream_client->can_connect(upstream, crash_probe_timeout)) {
        return;
    }
    const time_point now = boot_clock::now();
    context.has_crashed = true;
    if (this->decisions.crash->is_suspect(context.fingerprint, upstream, now)) {
        current.outcome = attempt_outcome::request_fault;
    }
    this->decisions.crash->record_crash(context.fingerprint, upstream, now);
    context.steps.push_back(fmt::format("crashed={}", upstream.value));
}

void forwarder::record_execution(request_context& context, const attempt& current)
{
    if (current.is_answered()) {
        context.executed = ran::yes;
    }
    else if (current.result.sent && current.outcome != attempt_outcome::not_run) {
        context.executed = ran::unknown;
    }
    context.steps.push_back(fmt::format(
        "upstream={} end={} status={} sent={} reused={} detail={}", current.slot.upstream.value,
        current.outcome == attempt_outcome::not_run ? "not_run" : to_text(current.result.end),
        current.status, current.result.sent, current.result.reused, current.result.detail));
}

/// Counts a response that was sent to the client. Closes the client's connection if the response is
/// incomplete.
void forwarder::finish_response(request_context& context, const attempt& current)
{
    if (current.is_answered() && !current.lost_client) {
        this->counters.count_response(current.status);
        return;
    }
    context.exchange.close();
    if (current.lost_client) {
        this->counters.count_client_disconnect();
        context.steps.emplace_back("the client stopped taking the answer");
        return;
    }
    this->counters.count_truncated_response();
    log_line{"answer_cut"}
        .add("id", context.id)
        .add("service", context.service.value)
        .add("upstream", current.slot.upstream.value)
        .add("detail", current.result.detail);
}

std::optional<retry_reason> forwarder::may_retry(request_context& context, const attempt& current,
                                                 std::uint32_t attempts)
{
    const retry_limits limits{context.is_repeatable, context.service_profile->max_attempts,
                              context.deadline};
    const failed_attempt failed{current.failure(), current.result.sent, false};
    const auto reason =
        this->decisions.retries->may_retry({context.service, context.caller_organisation->id},
                                           limits, attempts, failed, boot_clock::now());
    if (!reason) {
        context.steps.push_back("no_retry=" + last_failure().detail);
        return std::nullopt;
    }
    this->counters.count_retry(*reason);
    context.steps.push_back(fmt::format("retry={}", to_code(*reason)));
    return reason;
}

} // namespace dragonflyroad
