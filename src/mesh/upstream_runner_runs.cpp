#include "mesh/upstream_runner.hpp"

#include "adapters/log.hpp"
#include "mesh/run_retention.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

/// How long no work is offered after a connection to the upstream could not be opened.
constexpr std::chrono::milliseconds connect_backoff{250};

/// Time allowed after the deadline for the upstream's answer to arrive; the upstream itself ends
/// work at the deadline.
constexpr std::chrono::milliseconds deadline_grace{150};

/// Maximum idle time of a connection that is reused, for requests that may not be repeated (unsafe)
/// and for repeatable ones (safe). Upstreams may drop idle connections early, in which case an
/// unsafe request is lost. In the present data centres, requests follow each other within a second.
constexpr std::chrono::milliseconds unsafe_idle_limit{1'500};
constexpr std::chrono::milliseconds safe_idle_limit{8'000};

/// If an upstream answers with a server error within this time after a call that it made failed,
/// the error is attributed to that call.
constexpr std::chrono::milliseconds call_failure_window{50};

/// Pause after a broken run before the upstream is checked: a process that ends closes its
/// connections and its listener within milliseconds.
constexpr std::chrono::milliseconds crash_check_pause{50};

/// Weight of the latest run in the moving average of run times.
constexpr double ewma_weight = 0.1;

void set_load(link_message& message, const upstream_load_report& load)
{
    std::visit(
        [&](auto& typed) {
            if constexpr (requires { typed.load; }) {
                typed.load = load;
            }
        },
        message);
}

} // namespace

bool upstream_runner::is_service_rejecting() const
{
    return this->is_rejecting_widely && this->reports.current() &&
           this->is_rejecting_widely(this->reports.current()->service);
}

void upstream_runner::record_fast_failure(const run_pointer& entry, bool is_rejection,
                                          time_point now)
{
    const bool was_active = this->failing.is_active();
    // Runs that were sent before the probation say nothing about the trials.
    if (was_active && !entry->is_trial) {
        return;
    }
    if (is_rejection) {
        this->failing.record_rejection(now);
    }
    else {
        this->failing.record_fast_failure(now);
    }
    if (!was_active && this->failing.is_active()) {
        log_line{"probation"}
            .add("upstream", this->reports.current() ? this->reports.current()->id : "")
            .add("request", entry->request_id)
            .add("waiting", this->queue.size());
        // An offer that was made before says that the upstream is sound.
        this->decline_reserved(decline_reason::on_probation);
    }
}

void upstream_runner::start_run(const node_id& from, const run_message& message)
{
    const run_key key = this->key_of(from, message.id);
    const auto found = this->runs.find(key);
    if (found == this->runs.end() || found->second->state != stage::offered) {
        const bool has_begun = found != this->runs.end() && found->second->state != stage::waiting;
        if (!has_begun) {
            this->reply_to(
                key, failed_message{message.id, run_failure::not_run, "the offer has lapsed"});
        }
        return;
    }
    const run_pointer entry = found->second;
    this->tickets.erase(entry->ticket);
    if (!this->reports.current()) {
        this->withdraw_offer(entry);
        this->runs.erase(found);
        this->reply_to(key,
                       failed_message{message.id, run_failure::not_run, "the upstream has left"});
        return;
    }
    this->send_to_upstream(entry, message);
}

void upstream_runner::send_to_upstream(const run_pointer& entry, const run_message& message)
{
    entry->state = stage::running;
    entry->started_at = boot_clock::now();
    entry->deadline = entry->started_at + message.time_left;
    this->last_run_at = entry->started_at;
    ++this->sent_runs;
    --this->slots_offered;
    this->pacing.record_sent(entry->started_at);
    this->upstream_retries.record_sent(entry->reservation.retry_share, entry->started_at);
    entry->fingerprint = message.fingerprint;
    if (const auto id = find_header(message.head.headers, this->names.request_id)) {
        entry->request_id = std::string{*id};
    }
    log_line{"run_start"}
        .add("request", entry->request_id)
        .add("from", entry->key.node.value)
        .add("upstream", this->reports.current()->id)
        .add("in_use", this->slots_in_use)
        .add("waiting", this->queue.size())
        .add("time_left_ms", message.time_left.count());
    client_exchange_request exchange = this->build_exchange(entry, message);
    entry->connection =
        this->pool.start(std::move(exchange), [this, entry](const client_exchange_result& result) {
            this->on_exchange_end(entry, result);
        });
    this->arm_timer();
}

client_exchange_request upstream_runner::build_exchange(const run_pointer& entry,
                                                        const run_message& message) const
{
    request_head head = message.head;
    add_upstream_headers(head.headers, this->names, message.time_left, this->reports.current()->id);
    client_exchange_request exchange;
    exchange.bytes = encode_request_head(head, message.body.size());
    exchange.body = message.body;
    exchange.method = head.method;
    exchange.deadline = entry->deadline + deadline_grace;
    exchange.max_idle = entry->reservation.is_repeatable ? safe_idle_limit : unsafe_idle_limit;
    exchange.identity = {this->names.request_id, entry->request_id};
    return exchange;
}

void upstream_runner::on_exchange_end(const run_pointer& entry,
                                      const client_exchange_result& result)
{
    const bool is_refused = result.end == client_exchange_outcome::not_sent;
    const time_point now = boot_clock::now();
    --this->slots_in_use;
    this->bodies.release(entry->reservation.body_bytes);
    entry->connection.reset();
    entry->state = stage::done;
    if (is_refused) {
        this->connect_backoff_until = now + connect_backoff;
    }
    this->watch_for_crash(entry, result);
    const std::string detail = result.detail;
    // A connection that the upstream had dropped while it was idle is no evidence of a fault.
    const bool may_be_stale = result.was_stale;
    link_message outcome = this->classify_result(entry, result);
    if (!entry->is_cancelled) {
        this->record_outcome(entry, outcome, may_be_stale);
    }
    if (entry->is_trial) {
        this->failing.end_trial();
    }
    const auto* answer = std::get_if<response_message>(&outcome);
    log_line{"run_end"}
        .add("request", entry->request_id)
        .add("status", answer != nullptr ? answer->status : 0)
        .add("elapsed_ms", milliseconds_between(entry->started_at, now).count())
        .add("failure_share", this->health.failure_share(now))
        .add("slowdown", this->health.slowdown(now))
        .add("detail", detail);
    entry->forget_at = now + run_retention;
    if (!entry->is_cancelled) {
        set_load(outcome, this->load_report(now));
        entry->is_reported = this->reply_to(entry->key, outcome);
        // The outcome may be sent again on a new link, when the report is outdated.
        set_load(outcome, {});
        entry->outcome = std::move(outcome);
    }
    this->offer_next();
    this->arm_timer();
}

bool upstream_runner::reserve_response(memory_reservation& reservation, std::size_t size)
{
    const auto use = size > small_body_bytes ? memory_use::large_response : memory_use::small_body;
    if (reservation.resize(size, use)) {
        return true;
    }
    for (const auto& [key, entry] : this->runs) {
        if (entry->state == stage::done && entry->is_reported) {
            entry->outcome.reset();
        }
    }
    return reservation.resize(size, use);
}

link_message upstream_runner::classify_result(const run_pointer& entry,
                                              const client_exchange_result& result)
{
    const run_id id = entry->key.id;
    if (result.end == client_exchange_outcome::not_sent) {
        return failed_message{id, run_failure::not_run, "connect: " + result.detail};
    }
    if (result.end != client_exchange_outcome::answered) {
        return failed_message{id, run_failure::unknown, result.detail};
    }
    const http_response& response = result.response;
    if (response.status == 421 || find_header(response.headers, this->names.not_run)) {
        this->handle_misdirected_request(result);
        return failed_message{id, run_failure::refused,
                              "upstream answered " + std::to_string(response.status)};
    }
    if (!is_complete_response(response.status, response.headers, this->names)) {
        return failed_message{id, run_failure::unknown, "the answer is not the upstream's own"};
    }
    memory_reservation reservation{this->memory};
    if (!this->reserve_response(reservation, response.body.size())) {
        return failed_message{id, run_failure::unknown, "no memory for the response"};
    }
    const auto elapsed = milliseconds_between(entry->started_at, boot_clock::now());
    return response_message{id, response.status, end_to_end_headers(response.headers),
                            response.body.guarded_by(std::move(reservation)), elapsed};
}

void upstream_runner::watch_for_crash(const run_pointer& entry,
                                      const client_exchange_result& result)
{
    const time_point now = boot_clock::now();
    if (result.end == client_exchange_outcome::answered) {
        const bool has_run = !find_header(result.response.headers, this->names.not_run) &&
                             result.response.status != 421;
        if (has_run && result.response.status < 500) {
            this->crashes.record_success(entry->fingerprint, now);
        }
        return;
    }
    if (result.is_closed_by_peer && !entry->is_cancelled) {
        this->crashes.record_broken_run(entry->fingerprint, now);
        this->check_for_crash();
    }
}

void upstream_runner::check_for_crash()
{
    if (std::exchange(this->is_checking_for_crash, true)) {
        return;
    }
    this->crash_timer.expires_after(crash_check_pause);
    this->crash_timer.async_wait([this](const boost::system::error_code& error) {
        const auto& current = this->reports.current();
        if (error || !current) {
            this->is_checking_for_crash = false;
            return;
        }
        const time_point began = boot_clock::now();
        this->pool.check_refusal([this, began, checked = *current](bool is_refused) {
            this->is_checking_for_crash = false;
            if (is_refused) {
                this->report_crash(checked);
            }
            else if (this->crashes.last_broken_at() > began) {
                this->check_for_crash();
            }
        });
    });
}

void upstream_runner::report_crash(const local_upstream& ended)
{
    const auto crash = this->crashes.confirm_crash(
        ended.id + '@' + std::to_string(ended.started_at), boot_clock::now());
    // An upstream that leaves as planned ends without a fault.
    if (!crash || ended.is_draining) {
        return;
    }
    log_line{"upstream_crashed"}
        .add("upstream", ended.id)
        .add("suspects", crash->suspects.size())
        .add("first_suspect", crash->suspects.front());
    this->crash_found(*crash);
}

void upstream_runner::handle_misdirected_request(const client_exchange_result& result)
{
    if (result.response.status != 421) {
        return;
    }
    log_line{"upstream_replaced"}.add(
        "answered",
        std::string{find_header(result.response.headers, this->names.upstream_id).value_or("")});
    this->reports.discard_current();
    this->upstream_changed();
}

void upstream_runner::record_outcome(const run_pointer& entry, const link_message& outcome,
                                     bool may_be_stale)
{
    const time_point now = boot_clock::now();
    const auto* answer = std::get_if<response_message>(&outcome);
    if (answer == nullptr || answer->status >= 500) {
        if (is_deadline_too_short(milliseconds_between(entry->started_at, now),
                                  milliseconds_between(entry->started_at, entry->deadline),
                                  entry->reservation.expected_run)) {
            return;
        }
        const auto* failed = std::get_if<failed_message>(&outcome);
        const bool is_rejection = failed != nullptr && failed->kind == run_failure::refused;
        if (is_rejection && this->is_service_rejecting()) {
            return;
        }
        if (answer == nullptr || now > this->last_call_failure_at + call_failure_window) {
            this->health.record_failure(now);
            const auto elapsed = milliseconds_between(entry->started_at, now);
            if (!may_be_stale && is_fast_failure(elapsed, entry->reservation.expected_run)) {
                this->record_fast_failure(entry, is_rejection, now);
            }
        }
        return;
    }
    this->failing.record_success(entry->is_trial);
    this->health.record_success(now, answer->elapsed, entry->reservation.expected_run);
    const double typical = static_cast<double>(this->typical_run.count()) * (1 - ewma_weight) +
                           static_cast<double>(answer->elapsed.count()) * ewma_weight;
    this->typical_run = std::chrono::milliseconds{static_cast<std::int64_t>(typical)};
    if (this->reports.current()) {
        this->queue.set_capacity(this->reports.current()->slots, this->typical_run);
    }
}

void upstream_runner::cancel(const run_key& key)
{
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return;
    }
    const run_pointer entry = found->second;
    if (entry->state != stage::running) {
        this->release(key);
        return;
    }
    // Runs that may not be repeated are completed: aborting one would leave its effect unknown.
    if (entry->reservation.is_repeatable && entry->connection != nullptr) {
        entry->is_cancelled = true;
        entry->connection->cancel();
    }
}

} // namespace dragonflyroad
