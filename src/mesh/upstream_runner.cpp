#include "mesh/upstream_runner.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// How long a slot is held for an offer: a round trip to a VM that runs five times slower than
/// usual.
constexpr std::chrono::milliseconds offer_time{250};

/// How often waiting work and unanswered offers are looked at.
constexpr std::chrono::milliseconds tick_interval{50};

/// Outcomes are kept for a node whose link failed, so that it can ask again.
constexpr std::chrono::milliseconds outcome_time{4'000};

/// Runs are remembered longer than any caller waits, so that "not run" is never said of one.
constexpr std::chrono::milliseconds memory_time{60'000};

/// A repeatable run goes on this long for a node that is out of reach; it repeats it elsewhere
/// then.
constexpr std::chrono::milliseconds detached_time{1'500};

/// An upstream that refuses connections is left alone for this long.
constexpr std::chrono::milliseconds refused_time{250};

/// The upstream ends work at the deadline itself; its answer gets this long to arrive.
constexpr std::chrono::milliseconds deadline_grace{150};

/// Idle time after which a kept connection carries no request that may not be repeated. Upstreams
/// may drop idle connections early; runs of today's sites follow each other within a second.
constexpr std::chrono::milliseconds unsafe_idle_limit{1'500};
constexpr std::chrono::milliseconds safe_idle_limit{8'000};

constexpr std::size_t max_answer_bytes = 64U << 20U;

/// Work that is offered beyond the free slots, one for each so many slots: the upstream queues a
/// few requests itself, so its slots do not stand idle during the round trip of an offer.
constexpr std::size_t slots_per_extra = 4;

/// An upstream's failure within this time of a failed call of its own is taken as caused by it.
constexpr std::chrono::milliseconds call_failure_time{50};

/// Weight of one run in the typical run time.
constexpr double run_weight = 0.1;

} // namespace

upstream_runner::upstream_runner(boost::asio::io_context& loop, const header_names& header_set,
                                 repeat_limit bound, count_function count)
    : timer(loop),
      names(header_set),
      pool(loop, max_answer_bytes),
      repeat_bound(bound),
      repeats(bound),
      upstream_count(std::move(count))
{
}

report_verdict upstream_runner::report(const upstream_report& report)
{
    const time_point now = boot_clock::now();
    const report_verdict verdict = this->reports.apply(report, now);
    if (verdict == report_verdict::outdated) {
        return verdict;
    }
    if (verdict == report_verdict::started) {
        this->repeats = repeat_budget{this->repeat_bound};
        this->health = {};
        this->refused_until = {};
        this->pool.close_idle();
    }
    this->pool.set_address(report.address);
    this->queue.set_capacity(report.slots, this->typical_run);
    this->changed();
    this->offer_next();
    return verdict;
}

bool upstream_runner::leave(const std::string& id)
{
    const bool was_current = this->reports.leave(id);
    this->changed();
    this->tick();
    return was_current;
}

std::optional<local_upstream> upstream_runner::serving() const
{
    const auto& current = this->reports.current();
    return current && !current->is_draining && !this->is_stopping ? current : std::nullopt;
}

std::size_t upstream_runner::service_size() const
{
    return this->upstream_count(this->reports.current()->service);
}

bool upstream_runner::takes_work(time_point now) const
{
    return this->serving() && now >= this->refused_until;
}

void upstream_runner::receive(const node_id& from, link_message message, reply_function reply)
{
    this->peers[from].reply = std::move(reply);
    if (const auto* terms = std::get_if<reserve_message>(&message)) {
        this->reserve(from, *terms);
    }
    else if (const auto* released = std::get_if<release_message>(&message)) {
        this->release({from, released->id});
    }
    else if (const auto* start_now = std::get_if<run_message>(&message)) {
        this->start(from, *start_now);
    }
    else if (const auto* cancelled = std::get_if<cancel_message>(&message)) {
        this->cancel({from, cancelled->id});
    }
}

void upstream_runner::attach(const node_id& from, const hello_message& hello, reply_function reply)
{
    peer& state = this->peers[from];
    if (state.run != 0 && state.run != hello.run) {
        this->forget_runs(from);
    }
    state.reply = std::move(reply);
    state.run = hello.run;
    state.detached_at = {};
    for (const run_id id : hello.open_runs) {
        const auto found = this->runs.find({from, id});
        const bool has_begun =
            found != this->runs.end() &&
            (found->second->state == stage::running || found->second->state == stage::done);
        if (!has_begun) {
            this->reply_to(from, failed_message{id, run_failure::not_run, "not handed over"});
        }
        else if (found->second->outcome) {
            this->reply_to(from, *found->second->outcome);
        }
        else if (found->second->state == stage::done) {
            this->reply_to(from, failed_message{id, run_failure::unknown, "outcome not kept"});
        }
    }
}

void upstream_runner::detach(const node_id& from)
{
    peer& state = this->peers[from];
    state.reply = nullptr;
    state.detached_at = boot_clock::now();
    this->drop_reservations(from);
    this->arm_timer();
}

void upstream_runner::drop_reservations(const node_id& from)
{
    const time_point now = boot_clock::now();
    std::erase_if(this->runs, [&](const auto& item) {
        const run_pointer& entry = item.second;
        if (item.first.first != from ||
            (entry->state != stage::waiting && entry->state != stage::offered)) {
            return false;
        }
        this->queue.remove(entry->ticket, now);
        this->tickets.erase(entry->ticket);
        this->in_use -= entry->state == stage::offered ? 1 : 0;
        return true;
    });
    this->offer_next();
}

void upstream_runner::forget_runs(const node_id& from)
{
    this->drop_reservations(from);
    std::erase_if(this->runs, [&](const auto& item) {
        return item.first.first == from && item.second->state == stage::done;
    });
    for (const auto& [key, entry] : std::map{this->runs}) {
        // The earlier incarnation's callers are gone with it.
        if (key.first == from) {
            this->cancel(key);
            this->runs.erase(key);
        }
    }
}

void upstream_runner::begin_stop()
{
    this->is_stopping = true;
    this->tick();
}

void upstream_runner::reserve(const node_id& from, const reserve_message& message)
{
    const time_point now = boot_clock::now();
    const auto& current = this->reports.current();
    const auto wait = this->queue.estimate(message.rank, message.organisation, now).wait;
    if (!this->takes_work(now) || current->service != message.service) {
        const auto reason =
            this->is_stopping ? decline_reason::stopping : decline_reason::no_upstream;
        this->reply_to(from, decline_message{message.id, reason, wait});
        return;
    }
    if (this->lacks_repeat_budget(message, now)) {
        this->reply_to(from, decline_message{message.id, decline_reason::repeat_budget, wait});
        return;
    }
    const auto entry = std::make_shared<run>();
    entry->key = {from, message.id};
    entry->ticket = ++this->last_ticket;
    entry->terms = message;
    if (this->in_use < this->capacity() && this->queue.size() == 0) {
        this->runs[entry->key] = entry;
        this->tickets[entry->ticket] = entry;
        this->offer(entry);
        return;
    }
    const waiting_work work{entry->ticket, message.organisation, message.rank,
                            now + message.start_within, message.expected_run};
    const auto expected = this->queue.push(work, now);
    if (!expected) {
        this->reply_to(from, decline_message{message.id, decline_reason::overloaded, wait});
        return;
    }
    this->runs[entry->key] = entry;
    this->tickets[entry->ticket] = entry;
    this->reply_to(from,
                   place_message{message.id, false, expected->wait + this->cost_of(message, now)});
    this->arm_timer();
}

void upstream_runner::offer(const run_pointer& entry)
{
    const time_point now = boot_clock::now();
    const auto cost = this->cost_of(entry->terms, now);
    entry->state = stage::offered;
    entry->offered_until = now + offer_time;
    ++this->in_use;
    this->reply_to(entry->key.first, place_message{entry->key.second, true, cost});
    this->arm_timer();
}

std::size_t upstream_runner::capacity() const
{
    const std::size_t slots = this->reports.current()->slots;
    return slots + slots / slots_per_extra;
}

void upstream_runner::offer_next()
{
    const time_point now = boot_clock::now();
    while (this->takes_work(now) && this->in_use < this->capacity()) {
        const auto ticket = this->queue.pop(now);
        if (!ticket) {
            return;
        }
        const auto found = this->tickets.find(*ticket);
        if (found == this->tickets.end()) {
            continue;
        }
        const run_pointer entry = found->second;
        // The budget may have been used up while the repeat waited.
        if (this->lacks_repeat_budget(entry->terms, now)) {
            this->decline(entry, decline_reason::repeat_budget);
            continue;
        }
        this->offer(entry);
    }
}

void upstream_runner::decline(const run_pointer& entry, decline_reason reason)
{
    this->tickets.erase(entry->ticket);
    this->runs.erase(entry->key);
    this->reply_to(entry->key.first, decline_message{entry->key.second, reason, {}});
}

bool upstream_runner::lacks_repeat_budget(const reserve_message& terms, time_point now)
{
    return terms.is_repeat && !this->repeats.has_room(this->service_size(), now);
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
    this->in_use -= entry->state == stage::offered ? 1 : 0;
    this->runs.erase(found);
    this->offer_next();
}

void upstream_runner::start(const node_id& from, const run_message& message)
{
    const auto found = this->runs.find({from, message.id});
    if (found == this->runs.end() || found->second->state != stage::offered) {
        const bool has_begun = found != this->runs.end() && found->second->state != stage::waiting;
        if (!has_begun) {
            this->reply_to(
                from, failed_message{message.id, run_failure::not_run, "the offer has lapsed"});
        }
        return;
    }
    const run_pointer entry = found->second;
    this->tickets.erase(entry->ticket);
    if (!this->reports.current()) {
        --this->in_use;
        this->runs.erase(found);
        this->reply_to(from,
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
    if (entry->terms.is_repeat) {
        this->repeats.note_repeat(entry->started_at);
    }
    else {
        this->repeats.note_first(entry->started_at);
    }
    if (const auto id = find_header(message.head.headers, this->names.request_id)) {
        entry->request_id = std::string{*id};
    }
    log_line{"run_start"}
        .add("request", entry->request_id)
        .add("from", entry->key.first.value)
        .add("upstream", this->reports.current()->id)
        .add("in_use", this->in_use)
        .add("waiting", this->queue.size())
        .add("time_left_ms", message.time_left.count());
    exchange_request exchange = this->build_exchange(entry, message);
    entry->connection =
        this->pool.start(std::move(exchange), [this, entry](exchange_result result) {
            this->on_exchange_end(entry, std::move(result));
        });
    this->arm_timer();
}

exchange_request upstream_runner::build_exchange(const run_pointer& entry,
                                                 const run_message& message) const
{
    request_head head = message.head;
    add_hop_headers(head.headers, this->names, message.time_left, this->reports.current()->id);
    exchange_request exchange;
    exchange.bytes = encode_request(head, message.body);
    exchange.method = head.method;
    exchange.deadline = entry->deadline + deadline_grace;
    exchange.max_idle = entry->terms.is_repeatable ? safe_idle_limit : unsafe_idle_limit;
    const std::string name = this->names.request_id;
    const std::string expected = entry->request_id;
    exchange.is_own_answer = [name, expected](const http_answer& answer) {
        const auto echoed = find_header(answer.headers, name);
        return !echoed || expected.empty() || *echoed == expected;
    };
    return exchange;
}

void upstream_runner::on_exchange_end(const run_pointer& entry, exchange_result result)
{
    const bool is_refused = result.end == exchange_end::not_sent;
    const time_point now = boot_clock::now();
    --this->in_use;
    entry->connection.reset();
    entry->state = stage::done;
    if (is_refused) {
        this->refused_until = now + refused_time;
    }
    const std::string detail = result.detail;
    link_message outcome = this->judge(entry, std::move(result));
    if (!entry->is_cancelled) {
        this->note_outcome(entry, outcome);
    }
    const auto* answer = std::get_if<answer_message>(&outcome);
    log_line{"run_end"}
        .add("request", entry->request_id)
        .add("status", answer != nullptr ? answer->status : 0)
        .add("elapsed_ms", milliseconds_between(entry->started_at, now).count())
        .add("failure_share", this->health.failure_share(now))
        .add("slowdown", this->health.slowdown(now))
        .add("detail", detail);
    entry->forget_at = now + memory_time;
    if (!entry->is_cancelled) {
        this->reply_to(entry->key.first, outcome);
        entry->outcome = std::move(outcome);
    }
    this->offer_next();
    this->arm_timer();
}

link_message upstream_runner::judge(const run_pointer& entry, exchange_result result)
{
    const run_id id = entry->key.second;
    if (result.end == exchange_end::not_sent) {
        return failed_message{id, run_failure::not_run, "connect: " + result.detail};
    }
    if (result.end != exchange_end::answered) {
        return failed_message{id, run_failure::unknown, result.detail};
    }
    http_answer& answer = result.answer;
    if (answer.status == 421 || find_header(answer.headers, this->names.not_run)) {
        this->note_not_running(result);
        return failed_message{id, run_failure::refused,
                              "upstream answered " + std::to_string(answer.status)};
    }
    if (!is_whole_answer(answer.status, answer.headers, this->names)) {
        return failed_message{id, run_failure::unknown, "the answer is not the upstream's own"};
    }
    const auto elapsed = milliseconds_between(entry->started_at, boot_clock::now());
    return answer_message{id, answer.status, end_to_end_headers(answer.headers),
                          std::move(answer.body), elapsed};
}

void upstream_runner::note_not_running(const exchange_result& result)
{
    if (result.answer.status != 421) {
        return;
    }
    log_line{"upstream_replaced"}.add(
        "answered",
        std::string{find_header(result.answer.headers, this->names.upstream_id).value_or("")});
    this->reports.lose();
    this->changed();
}

void upstream_runner::note_outcome(const run_pointer& entry, const link_message& outcome)
{
    const time_point now = boot_clock::now();
    const auto* answer = std::get_if<answer_message>(&outcome);
    if (answer == nullptr || answer->status >= 500) {
        if (was_cut_short(milliseconds_between(entry->started_at, now),
                          milliseconds_between(entry->started_at, entry->deadline),
                          entry->terms.expected_run)) {
            return;
        }
        if (answer == nullptr || now > this->call_failed_at + call_failure_time) {
            this->health.note_failure(now);
        }
        return;
    }
    this->health.note_success(now, answer->elapsed, entry->terms.expected_run);
    const double typical = static_cast<double>(this->typical_run.count()) * (1 - run_weight) +
                           static_cast<double>(answer->elapsed.count()) * run_weight;
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
    // Work that may not be repeated is finished: stopping it half-way leaves its effect unknown.
    if (entry->terms.is_repeatable && entry->connection != nullptr) {
        entry->is_cancelled = true;
        entry->connection->cancel();
    }
}

std::chrono::milliseconds upstream_runner::cost_of(const reserve_message& terms,
                                                   time_point now) const
{
    auto cost = this->health.expected_cost(now, terms.expected_run, terms.failure_cost,
                                           this->oldest_overrun(now));
    // The trial is left to work that can be sent elsewhere when it fails.
    if (this->in_use == 0 && terms.is_repeatable) {
        cost = cost_when_idle(cost, this->last_run_at, now);
    }
    const auto& current = this->reports.current();
    if (current && now < current->cold_until) {
        cost += terms.expected_run;
    }
    return cost;
}

std::chrono::milliseconds upstream_runner::oldest_overrun(time_point now) const
{
    std::chrono::milliseconds oldest{0};
    for (const auto& [key, entry] : this->runs) {
        if (entry->state == stage::running) {
            oldest = std::max(oldest, milliseconds_between(entry->started_at, now) -
                                          entry->terms.expected_run);
        }
    }
    return oldest;
}

void upstream_runner::reply_to(const node_id& node, const link_message& message)
{
    const auto found = this->peers.find(node);
    if (found != this->peers.end() && found->second.reply) {
        found->second.reply(message);
    }
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
    const bool takes = this->takes_work(now);
    for (const auto& [key, entry] : std::map{this->runs}) {
        const auto& from = this->peers[key.first];
        const bool is_detached =
            from.detached_at != time_point{} && now > from.detached_at + detached_time;
        if (entry->state == stage::offered && now > entry->offered_until) {
            this->release(key);
        }
        else if (entry->state == stage::waiting && !takes) {
            this->release(key);
            const auto reason =
                this->is_stopping ? decline_reason::stopping : decline_reason::no_upstream;
            this->reply_to(key.first, decline_message{key.second, reason, {}});
        }
        else if (entry->state == stage::running && is_detached) {
            this->cancel(key);
        }
        else if (entry->state == stage::done && now > entry->forget_at) {
            this->runs.erase(key);
        }
        else if (entry->state == stage::done && entry->outcome &&
                 now > entry->forget_at - memory_time + outcome_time) {
            entry->outcome.reset();
        }
    }
    this->offer_next();
}

void upstream_runner::arm_timer()
{
    const bool is_busy = this->queue.size() > 0 || this->in_use > 0;
    const time_point wanted = boot_clock::now() + (is_busy ? tick_interval : outcome_time);
    if (this->next_tick != time_point{} && this->next_tick <= wanted) {
        return;
    }
    this->next_tick = wanted;
    this->timer.expires_after(is_busy ? tick_interval : outcome_time);
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
