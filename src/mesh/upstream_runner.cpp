#include "mesh/upstream_runner.hpp"

#include "adapters/log.hpp"
#include "mesh/run_retention.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Interval at which queued reservations and open offers are checked for expiry.
constexpr std::chrono::milliseconds tick_interval{50};

/// How long a repeatable run continues after the link to the node that sent it closed; by then that
/// node has retried it elsewhere.
constexpr std::chrono::milliseconds detached_run_limit{1'500};

/// Shares of the process's memory for one response of the upstream and for all that are being
/// received. A response is copied up to four times on its way over a link. An upstream in trouble
/// may send bytes without end.
constexpr std::size_t response_memory_divisor = 16;
constexpr std::size_t receiving_memory_divisor = 8;

} // namespace

upstream_runner::upstream_runner(boost::asio::io_context& loop, const header_names& header_set,
                                 service_retry_limit bound, std::size_t memory_bytes,
                                 upstream_count_function count, crash_guard& guard)
    : timer(loop),
      crash_timer(loop),
      crashes(guard),
      names(header_set),
      pool(loop, memory_bytes / response_memory_divisor, memory_bytes / receiving_memory_divisor),
      service_retry_bound(bound),
      upstream_retries(bound, boot_clock::now()),
      upstream_count(std::move(count)),
      bodies(memory_bytes),
      pacing(boot_clock::now())
{
}

check_in_verdict upstream_runner::apply_check_in(const upstream_check_in& report)
{
    const time_point now = boot_clock::now();
    const auto before = this->reports.current();
    const check_in_verdict verdict = this->reports.apply(report, now);
    if (verdict == check_in_verdict::outdated) {
        return verdict;
    }
    if (verdict == check_in_verdict::withheld) {
        this->upstream_changed();
        this->tick();
        return verdict;
    }
    if (verdict == check_in_verdict::started) {
        if (before) {
            this->report_crash(*before);
        }
        // The budget belongs to the service: a restarted upstream gets no new share of it.
        if (!before || before->service != report.service) {
            this->upstream_retries = upstream_retry_budget{this->service_retry_bound, now};
        }
        this->health = {};
        this->failing = {};
        this->connect_backoff_until = {};
        this->pool.close_idle();
        this->drop_reservations_of_other_services();
    }
    this->pool.set_address(report.address);
    this->queue.set_capacity(report.slots, this->typical_run);
    this->update_cold_state();
    this->upstream_changed();
    this->offer_next();
    return verdict;
}

bool upstream_runner::deregister_upstream(const std::string& id,
                                          std::optional<std::int64_t> stated_start)
{
    const bool was_current = this->reports.record_deregistration(id, stated_start);
    this->upstream_changed();
    this->tick();
    return was_current;
}

std::optional<local_upstream> upstream_runner::available_upstream() const
{
    const auto& current = this->reports.current();
    const bool takes_work = current && !current->is_draining && !current->is_withheld;
    return takes_work && !this->is_stopping ? current : std::nullopt;
}

std::size_t upstream_runner::service_upstream_count() const
{
    return this->upstream_count(this->reports.current()->service);
}

bool upstream_runner::accepts_work(time_point now) const
{
    return this->available_upstream() && now >= this->connect_backoff_until &&
           !this->is_evacuated && (!this->is_informed || this->is_informed());
}

void upstream_runner::receive(const node_id& from, link_message message, reply_function reply)
{
    this->peers[from].reply = std::move(reply);
    if (const auto* reservation = std::get_if<reserve_message>(&message)) {
        this->reserve(from, *reservation);
    }
    else if (const auto* released = std::get_if<release_reservation_message>(&message)) {
        this->release(this->key_of(from, released->id));
    }
    else if (const auto* run_request = std::get_if<run_message>(&message)) {
        this->start_run(from, *run_request);
    }
    else if (const auto* cancelled = std::get_if<cancel_message>(&message)) {
        this->cancel(this->key_of(from, cancelled->id));
    }
}

void upstream_runner::on_link_opened(const node_id& from, const hello_message& hello,
                                     reply_function reply)
{
    peer& state = this->peers[from];
    const incarnation before = std::exchange(state.peer_incarnation, hello.node_incarnation);
    state.reply = std::move(reply);
    state.detached_at = {};
    if (before != 0 && before != hello.node_incarnation) {
        this->cancel_runs_of_other_processes(from);
    }
    for (const run_id id : hello.open_runs) {
        const run_key key = this->key_of(from, id);
        const auto found = this->runs.find(key);
        const bool has_begun =
            found != this->runs.end() &&
            (found->second->state == stage::running || found->second->state == stage::done);
        if (!has_begun) {
            this->reply_to(key, failed_message{id, run_failure::not_run, "not handed over"});
        }
        else if (found->second->outcome) {
            found->second->is_reported = this->reply_to(key, *found->second->outcome);
        }
        else if (found->second->state == stage::done) {
            this->reply_to(key, failed_message{id, run_failure::unknown, "outcome not kept"});
        }
    }
}

void upstream_runner::on_link_closed(const node_id& from)
{
    peer& state = this->peers[from];
    state.reply = nullptr;
    state.detached_at = boot_clock::now();
    this->drop_reservations(from);
    this->arm_timer();
}

void upstream_runner::cancel_runs_of_other_processes(const node_id& from)
{
    this->drop_reservations(from);
    std::size_t running = 0;
    for (const auto& [key, entry] : std::map{this->runs}) {
        if (key.node == from && !this->is_of_present_process(key) &&
            entry->state == stage::running) {
            this->cancel(key);
            ++running;
        }
    }
    log_line{"peer_process_replaced"}.add("peer", from.value).add("running", running);
}

upstream_runner::run_key upstream_runner::key_of(const node_id& node, run_id id) const
{
    const auto found = this->peers.find(node);
    return {node, found == this->peers.end() ? 0 : found->second.peer_incarnation, id};
}

bool upstream_runner::is_of_present_process(const run_key& key) const
{
    return key.node_incarnation == this->key_of(key.node, key.id).node_incarnation;
}

void upstream_runner::begin_stop()
{
    this->is_stopping = true;
    this->tick();
}

bool upstream_runner::has_undelivered_outcome(time_point now) const
{
    return std::ranges::any_of(this->runs, [&](const auto& item) {
        const run& entry = *item.second;
        return entry.outcome && !entry.is_reported && this->is_of_present_process(entry.key) &&
               now < entry.forget_at - run_retention + outcome_retention;
    });
}

void upstream_runner::fail_open_runs()
{
    for (const auto& [key, entry] : this->runs) {
        if (entry->state == stage::running) {
            this->reply_to(key, failed_message{key.id, run_failure::unknown,
                                               "the node beside the upstream ends before the run"});
        }
    }
}

double upstream_runner::retry_share_of_call(std::string_view call_id) const
{
    double retries = 0;
    std::size_t open = 0;
    for (const auto& [key, entry] : this->runs) {
        if (entry->state != stage::running) {
            continue;
        }
        const std::string& id = entry->request_id;
        if (!id.empty() && call_id.starts_with(id) && call_id.substr(id.size()).starts_with('.')) {
            return entry->reservation.retry_share;
        }
        retries += entry->reservation.retry_share;
        ++open;
    }
    return open == 0 ? 0 : retries / static_cast<double>(open);
}

bool upstream_runner::reply_to(const run_key& key, const link_message& message)
{
    const auto found = this->peers.find(key.node);
    if (found == this->peers.end() || !found->second.reply || !this->is_of_present_process(key)) {
        return false;
    }
    found->second.reply(message);
    return true;
}

void upstream_runner::tick()
{
    const time_point now = boot_clock::now();
    for (const queue_ticket ticket : this->queue.expire(now)) {
        const auto found = this->tickets.find(ticket);
        if (found == this->tickets.end()) {
            continue;
        }
        this->decline(run_pointer{found->second}, decline_reason::overloaded);
    }
    const bool takes = this->accepts_work(now);
    for (const auto& [key, entry] : std::map{this->runs}) {
        const auto& from = this->peers[key.node];
        const bool is_detached =
            from.detached_at != time_point{} && now > from.detached_at + detached_run_limit;
        if (entry->state == stage::offered && now > entry->offered_until) {
            this->release(key);
        }
        else if (entry->state == stage::waiting && !takes) {
            this->release(key);
            const auto reason =
                this->is_stopping ? decline_reason::stopping : decline_reason::no_upstream;
            this->reply_to(key, reservation_declined_message{key.id, reason, {}});
        }
        else if (entry->state == stage::running && is_detached) {
            this->cancel(key);
        }
        else if (entry->state == stage::done && now > entry->forget_at) {
            this->runs.erase(key);
        }
        else if (entry->state == stage::done && entry->outcome &&
                 now > entry->forget_at - run_retention + outcome_retention) {
            entry->outcome.reset();
        }
    }
    this->offer_next();
}

void upstream_runner::arm_timer()
{
    const bool is_busy = this->queue.size() > 0 || this->slots_in_use > 0;
    const time_point next = boot_clock::now() + (is_busy ? tick_interval : outcome_retention);
    if (this->next_tick != time_point{} && this->next_tick <= next) {
        return;
    }
    this->next_tick = next;
    this->timer.expires_after(is_busy ? tick_interval : outcome_retention);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->next_tick = {};
            this->tick();
            if (!this->runs.empty()) {
                this->arm_timer();
            }
        }
    });
}

} // namespace dragonflyroad
