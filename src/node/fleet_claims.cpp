#include "node/fleet_claims.hpp"

#include "adapters/log.hpp"
#include "claims/message_codec.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

/// Bounds the memory for claims to about 16 MB.
constexpr std::size_t max_claims = 200'000;
constexpr std::size_t max_pending_completions = 10'000;
constexpr std::chrono::milliseconds call_timeout{300};
constexpr std::chrono::milliseconds retry_pause{20};
constexpr std::chrono::milliseconds completion_retry_interval{200};

claim_decision to_decision(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::granted:
        return claim_decision::granted;
    case claim_verdict::in_progress:
        return claim_decision::in_progress;
    case claim_verdict::done:
        return claim_decision::done;
    case claim_verdict::unknown:
        return claim_decision::unknown;
    case claim_verdict::unavailable:
    case claim_verdict::wrong_version:
        break;
    }
    return claim_decision::unavailable;
}

claim_outcome to_outcome(ran executed)
{
    switch (executed) {
    case ran::no:
        return claim_outcome::not_run;
    case ran::yes:
        return claim_outcome::done;
    case ran::unknown:
        break;
    }
    return claim_outcome::unknown;
}

/// Whether a retry may soon get another verdict, because a seat change has not reached both nodes
/// or a hand-over has not reached the owner.
bool is_transient(const claim_reply& reply)
{
    return reply.verdict == claim_verdict::wrong_version ||
           reply.verdict == claim_verdict::unavailable;
}

} // namespace

fleet_claims::fleet_claims(dependencies given)
    : deps(std::move(given)),
      client(deps.node, deps.secret),
      random(deps.seed),
      key(deps.key),
      table(deps.key, max_claims, std::chrono::milliseconds{0})
{
}

bool fleet_claims::refresh_seats(time_point now)
{
    std::uint64_t version = 0;
    seat_key known;
    {
        const std::scoped_lock lock{this->mutex};
        version = this->ledger_copy->seat_version;
        known = this->key;
    }
    const seat_facts facts = this->deps.quota.current_seat(known, version, now);
    const std::scoped_lock lock{this->mutex};
    if (facts.key.node_incarnation > this->key.node_incarnation) {
        this->key = facts.key;
        this->table.reset(facts.key);
        this->ledger_copy = std::make_shared<ledger>();
    }
    if (facts.newer_ledger && facts.key == this->key &&
        facts.newer_ledger->seat_version > this->ledger_copy->seat_version) {
        this->ledger_copy = std::make_shared<ledger>(*facts.newer_ledger);
        this->table.set_seats(*this->ledger_copy, now);
        this->changed.notify_all();
    }
    return facts.is_fence_open && facts.key == this->key;
}

fleet_claims::claim_call_result fleet_claims::request_claim(claim_request& request,
                                                            time_point deadline)
{
    const time_point now = boot_clock::now();
    const bool is_open = this->refresh_seats(now);
    std::string address;
    {
        const std::scoped_lock lock{this->mutex};
        request.seat_version = this->ledger_copy->seat_version;
        const auto owner = claim_owner(*this->ledger_copy, request.key);
        if (!owner) {
            return {};
        }
        if (*owner == this->key) {
            return {this->table.claim(request, is_open, now), false};
        }
        address = this->ledger_copy->find(*owner)->address;
    }
    const auto response = this->client.call(address, "claim", to_json(request), deadline);
    if (!response) {
        const std::string step = last_failure().step;
        return {std::nullopt, step != "rpc_connect" && step != "rpc_refused"};
    }
    const auto reply = from_json<claim_reply>(*response);
    if (reply && reply->seat_version > request.seat_version) {
        this->deps.quota.fetch_ledger(address, deadline);
    }
    return {reply, !reply};
}

void fleet_claims::wait_before_retry(time_point deadline)
{
    std::unique_lock lock{this->mutex};
    const duration left = deadline - boot_clock::now();
    this->changed.wait_for(lock, std::min<duration>(left, retry_pause));
}

claim_decision fleet_claims::claim(claim_subject& subject, std::chrono::milliseconds repeat_window,
                                   time_point deadline)
{
    const time_point began = boot_clock::now();
    const time_point limit = std::min(deadline, began + call_timeout);
    // The claim must not expire before the request's deadline.
    const auto running = std::chrono::ceil<std::chrono::milliseconds>(deadline - began);
    subject.window = std::max(repeat_window, running);
    claim_request request;
    request.key = make_claim_key(subject.organisation, subject.service, subject.key);
    request.window = subject.window;
    {
        const std::scoped_lock lock{this->mutex};
        subject.attempt = this->random();
        request.attempt = subject.attempt;
    }
    bool may_be_recorded = false;
    do {
        const claim_call_result result = this->request_claim(request, limit);
        may_be_recorded = may_be_recorded || result.may_be_recorded;
        const bool is_late = boot_clock::now() >= limit;
        if (result.reply && !is_transient(*result.reply) &&
            (!is_late || result.reply->verdict != claim_verdict::granted)) {
            return to_decision(result.reply->verdict);
        }
        may_be_recorded =
            may_be_recorded || (result.reply && result.reply->verdict == claim_verdict::granted);
        this->wait_before_retry(limit);
    } while (boot_clock::now() < limit);
    if (may_be_recorded) {
        // No upstream has received this attempt, so the key can be released.
        this->queue_completion(
            {request.key, 0, request.attempt, claim_outcome::not_run, request.window});
    }
    return claim_decision::unavailable;
}

std::optional<claim_reply> fleet_claims::report_completion(claim_completion message,
                                                           time_point deadline)
{
    const time_point now = boot_clock::now();
    const bool is_open = this->refresh_seats(now);
    std::string address;
    {
        const std::scoped_lock lock{this->mutex};
        message.seat_version = this->ledger_copy->seat_version;
        const auto owner = claim_owner(*this->ledger_copy, message.key);
        if (!owner) {
            return std::nullopt;
        }
        if (*owner == this->key) {
            return this->table.complete(message, is_open, now);
        }
        address = this->ledger_copy->find(*owner)->address;
    }
    const auto response = this->client.call(address, "complete", to_json(message), deadline);
    const auto reply = response ? from_json<claim_reply>(*response) : std::nullopt;
    if (reply && reply->seat_version > message.seat_version) {
        this->deps.quota.fetch_ledger(address, deadline);
    }
    return reply;
}

void fleet_claims::complete(const claim_subject& subject, ran executed)
{
    const claim_completion message{
        make_claim_key(subject.organisation, subject.service, subject.key), 0, subject.attempt,
        to_outcome(executed), subject.window};
    const auto reply = this->report_completion(message, boot_clock::now() + call_timeout);
    if (!reply || reply->verdict != claim_verdict::granted) {
        this->queue_completion(message);
    }
}

void fleet_claims::queue_completion(const claim_completion& message)
{
    const std::scoped_lock lock{this->mutex};
    if (this->pending_completions.size() >= max_pending_completions) {
        // Without this report, the owner keeps the claim in progress until its window ends.
        this->pending_completions.pop_front();
        log_line{"claim_report_dropped"}.add("unreported", this->pending_completions.size());
    }
    this->pending_completions.push_back({message, boot_clock::now() + message.window});
}

duration fleet_claims::retry_completions()
{
    std::deque<unacknowledged_completion> due;
    {
        const std::scoped_lock lock{this->mutex};
        due.swap(this->pending_completions);
    }
    std::deque<unacknowledged_completion> left;
    for (const unacknowledged_completion& entry : due) {
        const time_point now = boot_clock::now();
        const auto reply = this->report_completion(entry.message, now + call_timeout);
        if ((!reply || reply->verdict != claim_verdict::granted) && now < entry.until) {
            left.push_back(entry);
        }
    }
    const std::scoped_lock lock{this->mutex};
    this->pending_completions.insert(this->pending_completions.begin(), left.begin(), left.end());
    this->changed.notify_all();
    return completion_retry_interval;
}

void fleet_claims::add_methods(rpc_server& server)
{
    using json = nlohmann::json;
    server.add_method("claim", [this](const json& params, const node_id& caller) {
        return this->on_claim(params, caller);
    });
    server.add_method("complete", [this](const json& params, const node_id& caller) {
        return this->on_complete(params, caller);
    });
    server.add_method("hand_over", [this](const json& params, const node_id&) {
        return this->on_hand_over(params);
    });
}

void fleet_claims::start()
{
    this->hand_over_task =
        std::make_unique<periodic_task>([this] { return this->send_hand_overs(); });
    this->report_task =
        std::make_unique<periodic_task>([this] { return this->retry_completions(); });
}

void fleet_claims::hand_over(time_point deadline)
{
    std::unique_lock lock{this->mutex};
    this->changed.wait_until(lock, deadline, [this] { return this->pending_completions.empty(); });
    this->table.stop();
    this->hand_over_task->wake();
    this->changed.wait_until(lock, deadline, [this] {
        return this->table.has_handed_over() || this->ledger_copy->find(this->key) == nullptr;
    });
}

void fleet_claims::stop()
{
    this->hand_over_task->stop();
    this->report_task->stop();
}

} // namespace dragonflyroad
