#include "mesh/departure_recorder.hpp"

#include "adapters/log.hpp"
#include "core/digest.hpp"
#include "dispatch/writer_rank.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

constexpr milliseconds tick_interval{50};

/// Number of nodes that are told of a departure at once. One of them may be cut off too.
constexpr std::size_t told_nodes = 2;

/// Time for which the nodes that were told leave the write to the one that saw the departure: a
/// sound store answers in 4 ms. The second one waits for the first as well. The upstream takes an
/// acknowledgement as lost after one second.
constexpr milliseconds told_node_delay{150};

/// Interval at which other nodes are told while the store still lacks the departure.
constexpr milliseconds tell_interval{500};

/// The same for a record that the store has lost with an era. The node that saw the departure
/// writes at once; each other one waits for those before it in an order that is drawn for each
/// record, so that usually one writes it.
constexpr milliseconds lost_record_delay{300};
constexpr milliseconds delay_per_rank{150};
constexpr std::size_t last_rank = 6;

constexpr milliseconds first_retry_pause{100};
constexpr milliseconds longest_retry_pause{1'000};

} // namespace

departure_recorder::departure_recorder(boost::asio::io_context& loop, shared_store& platform_store,
                                       fleet_keys store_keys, node_id own, callbacks functions)
    : store(platform_store),
      keys(std::move(store_keys)),
      self(std::move(own)),
      handlers(std::move(functions)),
      timer(loop),
      retry(first_retry_pause, longest_retry_pause)
{
}

void departure_recorder::publish(const departed_lifetimes& departures)
{
    this->sync_era();
    if (!this->archive.known(this->self).contains_all(departures)) {
        this->archive.learn(this->self, departures);
        this->told.clear();
        this->tell_others();
    }
    this->update();
}

void departure_recorder::when_recorded(const std::string& id, std::int64_t started_at,
                                       milliseconds limit, recorded_function done)
{
    this->waiting.push_back({id, started_at, boot_clock::now() + limit, std::move(done)});
    this->update();
}

void departure_recorder::on_stored(const node_id& node, const std::string& value,
                                   const store_position& at)
{
    this->sync_era();
    const departed_lifetimes stored = departed_lifetimes::from_text(value);
    if (at.era == this->era.value_or(0)) {
        this->archive.record_stored(node, stored, at.revision);
    }
    else {
        this->archive.learn(node, stored);
    }
    this->update();
}

void departure_recorder::receive(const node_id& from, const departure_message& message,
                                 reply_function reply)
{
    if (message.node != from && message.node != this->self) {
        log_line{"departure_message_rejected"}
            .add("peer", from.value)
            .add("node_bytes", message.node.value.size())
            .add("detail", "a node states its own departures, or answers with the receiver's");
        return;
    }
    this->store.learn_era(message.era, from.value);
    this->sync_era();
    const departed_lifetimes stated = departed_lifetimes::from_text(message.departures);
    if (message.is_stored && message.era == this->era.value_or(0)) {
        this->archive.record_stored(message.node, stated);
    }
    else {
        this->archive.learn(message.node, stated);
    }
    if (!message.is_stored && this->archive.lacks(message.node)) {
        const time_point now = boot_clock::now();
        const auto [entry, is_new] =
            this->pending.try_emplace(message.node, pending_record{now + message.wait, {}});
        entry->second.due = std::min(entry->second.due, now + message.wait);
        entry->second.answer = std::move(reply);
    }
    else if (!message.is_stored) {
        reply(this->message_of(message.node, true));
    }
    this->update();
}

void departure_recorder::begin_era()
{
    this->sync_era();
    this->update();
}

void departure_recorder::stop()
{
    this->is_stopped = true;
    this->timer.cancel();
    for (const waiting_call& call : std::exchange(this->waiting, {})) {
        call.done(false);
    }
}

void departure_recorder::sync_era()
{
    const std::optional<store_era> newest = this->store.eras().known();
    if (newest == this->era) {
        return;
    }
    if (this->era) {
        this->archive.begin_era();
    }
    this->era = newest;
}

void departure_recorder::update()
{
    if (this->is_stopped) {
        return;
    }
    const time_point now = boot_clock::now();
    const std::vector<node_id> lacking = this->archive.lacking();
    const bool can_write = this->handlers.can_write();
    for (const node_id& node : lacking) {
        // In a new era most records are still there. What is lost is known once the store was read.
        if (can_write && !this->pending.contains(node)) {
            this->pending[node].due = this->due_of(node, now);
        }
    }
    for (const auto& [node, entry] : std::map{this->pending}) {
        if (this->archive.lacks(node)) {
            continue;
        }
        this->pending.erase(node);
        if (entry.answer) {
            entry.answer(this->message_of(node, true));
        }
        if (node == this->self) {
            for (const node_id& other : std::exchange(this->told, {})) {
                this->handlers.send(other, this->message_of(node, true));
            }
        }
    }
    this->complete_calls();
    if (can_write) {
        this->write_due(now);
    }
    if (!lacking.empty() || !this->waiting.empty()) {
        this->arm_timer();
    }
}

void departure_recorder::complete_calls()
{
    const time_point now = boot_clock::now();
    for (waiting_call& call : std::exchange(this->waiting, {})) {
        const bool is_recorded = this->archive.is_stored(this->self, call.id, call.started_at);
        if (!is_recorded && now < call.deadline) {
            this->waiting.push_back(std::move(call));
            continue;
        }
        if (!is_recorded) {
            log_line{"departure_not_recorded"}
                .add("upstream", call.id)
                .add("started_at", call.started_at)
                .add("known_nodes", this->handlers.live_nodes().size());
        }
        call.done(is_recorded);
    }
}

void departure_recorder::tell_others()
{
    std::vector<node_id> others = this->handlers.live_nodes();
    std::erase_if(others, [&](const node_id& node) {
        return node == this->self || !this->handlers.is_reachable(node) ||
               std::ranges::find(this->told, node) != this->told.end();
    });
    // The order differs between nodes, so that not all departures go to the same ones.
    std::ranges::sort(others, {}, [&](const node_id& node) {
        return stable_hash(this->self.value + node.value);
    });
    others.resize(std::min(others.size(), told_nodes));
    // When there are no others, those that were told before are told again the next time.
    this->told = others;
    this->tell_again_at = boot_clock::now() + tell_interval;
    departure_message message = this->message_of(this->self, false);
    for (const node_id& node : others) {
        message.wait += told_node_delay;
        this->handlers.send(node, message);
    }
}

departure_message departure_recorder::message_of(const node_id& node, bool is_stored) const
{
    return {node, this->archive.known(node).to_text(), is_stored, this->era.value_or(0),
            milliseconds{0}};
}

time_point departure_recorder::due_of(const node_id& node, time_point now) const
{
    if (node == this->self) {
        return now;
    }
    const std::size_t rank =
        writer_rank(this->keys.departures(node), this->self, this->handlers.live_nodes());
    return now + lost_record_delay +
           delay_per_rank * static_cast<std::int64_t>(std::min(rank, last_rank));
}

void departure_recorder::write_due(time_point now)
{
    if (this->is_calling_store || !this->retry.is_due(now)) {
        return;
    }
    const auto first = std::ranges::min_element(this->pending, {},
                                                [](const auto& item) { return item.second.due; });
    if (first == this->pending.end() || now < first->second.due) {
        return;
    }
    const node_id node = first->first;
    if (this->archive.revision(node)) {
        this->write(node);
    }
    else {
        this->read(node);
    }
}

void departure_recorder::on_call_failed(const node_id& node)
{
    this->retry.record_failure(boot_clock::now());
    // The others come first then: the store may reject only this record.
    if (const auto found = this->pending.find(node); found != this->pending.end()) {
        found->second.due = this->retry.next();
    }
    this->update();
}

void departure_recorder::write(const node_id& node)
{
    this->is_calling_store = true;
    const departed_lifetimes written = this->archive.known(node);
    commit_request request;
    request.conditions.push_back(
        {this->keys.departures(node), this->archive.revision(node).value_or(0)});
    request.writes.push_back({this->keys.departures(node), written.to_text(), 0});
    this->store.commit(request, [this, node, written](commit_outcome outcome) {
        this->is_calling_store = false;
        this->on_written(node, written, outcome);
    });
}

void departure_recorder::on_written(const node_id& node, const departed_lifetimes& written,
                                    commit_outcome outcome)
{
    this->sync_era();
    if (outcome == commit_outcome::committed) {
        this->retry.record_success();
        this->archive.record_stored(node, written);
        log_line{"departures_recorded"}
            .add("node", node.value)
            .add("own", node == this->self)
            .add("era", this->era.value_or(0));
    }
    else if (outcome == commit_outcome::conflict) {
        this->read(node);
        return;
    }
    else {
        this->on_call_failed(node);
        return;
    }
    this->update();
}

void departure_recorder::read(const node_id& node)
{
    this->is_calling_store = true;
    const std::string key = this->keys.departures(node);
    this->store.read(key, read_freshness::newest,
                     [this, node, key](const std::optional<stored_range>& range) {
                         this->is_calling_store = false;
                         this->sync_era();
                         if (!range || range->era != this->era.value_or(0)) {
                             this->on_call_failed(node);
                             return;
                         }
                         const auto found = std::ranges::find(range->items, key, &stored_item::key);
                         const bool is_present = found != range->items.end() && !found->is_removed;
                         this->archive.record_stored(
                             node, departed_lifetimes::from_text(is_present ? found->value : ""),
                             is_present ? found->revision : 0);
                         this->update();
                     });
}

void departure_recorder::arm_timer()
{
    if (std::exchange(this->is_armed, true)) {
        return;
    }
    this->timer.expires_after(tick_interval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        this->is_armed = false;
        if (error) {
            return;
        }
        this->sync_era();
        if (this->archive.lacks(this->self) && boot_clock::now() >= this->tell_again_at) {
            this->tell_others();
        }
        this->update();
    });
}

} // namespace dragonflyroad
