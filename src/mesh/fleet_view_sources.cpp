#include "mesh/fleet_view.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Duration of a watch without changes. Its end proves that the configuration is current. Followers
/// of this node depend on that proof, and every node must apply a change within 2 s.
constexpr milliseconds watch_time{700};

/// Pauses between watches, so that changes in quick succession arrive in one call. The pause is
/// longer while the fleet starts: every node writes its entry within about three seconds, and none
/// of these changes is urgent.
constexpr milliseconds watch_pause{30};
constexpr milliseconds startup_watch_pause{900};
constexpr milliseconds startup_time{3'000};

/// Long-poll wait requested from a followed node, and the time allowed for its reply beyond that.
constexpr milliseconds follow_wait{400};

/// The same for a node that others follow in turn, so that the proofs they get are fresh enough.
constexpr milliseconds relay_follow_wait{250};
constexpr milliseconds follow_reply_margin{250};

/// Greatest proof age at which a followed node is trusted; a node with an older proof may be
/// partitioned from the store. It exceeds the duration of a watch and of a relay's poll. Together
/// with the poll time (0.43 s) a change still arrives within 2 s.
constexpr milliseconds max_followed_proof_age{1'200};

constexpr milliseconds retry_interval{250};

} // namespace

void fleet_view::fetch_changes_after(milliseconds pause)
{
    this->fetch_timer.expires_after(pause);
    this->fetch_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->fetch_changes();
        }
    });
}

void fleet_view::record_store_result(bool reachable, const std::string& detail)
{
    if (reachable) {
        this->source_choice->record_store_success();
    }
    else {
        this->source_choice->record_store_failure(boot_clock::now());
    }
    this->store_failure = reachable ? "" : detail;
    if (std::exchange(this->is_reachable, reachable) != reachable) {
        log_line{reachable ? "store_regained" : "store_lost"}
            .add("revision", this->position.revision)
            .add("detail", detail);
    }
}

void fleet_view::read_all(read_freshness wanted)
{
    const time_point proved_at =
        wanted == read_freshness::newest ? boot_clock::now() : time_point{};
    this->store.read("", wanted, [this, proved_at](std::optional<stored_range> range) {
        this->on_read(std::move(range), proved_at);
    });
}

void fleet_view::on_read(std::optional<stored_range> range, time_point proved_at)
{
    this->wants_large_update = !range;
    if (!range) {
        this->record_store_result(false, last_failure().detail);
        this->fetch_changes_after(retry_interval);
        return;
    }
    this->record_store_result(true, "");
    if (range->era < this->position.era) {
        this->fetch_changes_after(retry_interval);
        return;
    }
    const store_position read_at{range->era, range->revision};
    if (!this->has_read_store() || read_at.era > this->position.era) {
        this->begin_era(read_at, "store");
    }
    this->apply_whole(range->items, read_at);
    this->record_store_proof(proved_at);
    this->handlers.changed();
    this->fetch_changes();
}

bool fleet_view::is_behind_era() const
{
    return this->has_read_store() && this->position.era < this->store.era();
}

void fleet_view::fetch_changes()
{
    if (this->is_behind_era()) {
        this->source_choice->prefer_store();
    }
    const auto source = this->source_choice->choose(this->centre_nodes(), this->live_nodes(),
                                                    this->random, boot_clock::now());
    if (source) {
        this->follow(*source);
    }
    else if (!this->has_read_store()) {
        this->read_all(this->first_read_freshness);
    }
    else if (this->is_behind_era()) {
        this->read_all(read_freshness::newest);
    }
    else {
        this->watch_store();
    }
}

void fleet_view::watch_store()
{
    const time_point sent_at = boot_clock::now();
    this->store.watch("", this->position.revision, watch_time,
                      [this, sent_at](std::optional<stored_changes> changes) {
                          this->on_watch(std::move(changes), sent_at);
                      });
}

void fleet_view::on_watch(std::optional<stored_changes> changes, time_point sent_at)
{
    if (!changes) {
        this->record_store_result(false, last_failure().detail);
        this->fetch_changes_after(retry_interval);
        return;
    }
    this->record_store_result(true, "");
    if (changes->is_history_lost || changes->era != this->position.era) {
        log_line{"store_history_lost"}
            .add("revision", this->position.revision)
            .add("era", this->position.era)
            .add("answer_era", changes->era);
        this->read_all(read_freshness::newest);
        return;
    }
    for (const stored_item& item : changes->items) {
        this->apply(item);
    }
    this->position.revision = std::max(this->position.revision, changes->revision);
    // A watch that ran for its full time proves that there were no changes until its end. A watch
    // that returned early proves only that nothing newer existed when it was sent.
    const time_point now = boot_clock::now();
    const bool ran_full = changes->items.empty() && now >= sent_at + watch_time;
    this->record_store_proof(ran_full ? sent_at + watch_time : sent_at);
    if (this->settlement.should_mark(now)) {
        this->write_era_mark();
    }
    if (changes->items.empty()) {
        this->fetch_changes();
        return;
    }
    this->handlers.changed();
    const bool is_starting = now < this->started_at + startup_time;
    this->fetch_changes_after(is_starting ? startup_watch_pause : watch_pause);
}

void fleet_view::follow(const node_id& node)
{
    if (this->followed != node) {
        log_line{"follow"}.add("node", node.value).add("revision", this->position.revision);
    }
    this->followed = node;
    this->followed_at = boot_clock::now();
    ++this->nonce;
    follow_message request;
    request.nonce = this->nonce;
    request.after = this->position.revision;
    request.era = this->position.era;
    request.configuration = this->table == nullptr ? 0 : this->table->revision();
    const node_entry* source = this->directory.find(node);
    const bool is_relay = source != nullptr && source->centre != this->self.centre;
    const milliseconds wait = is_relay ? relay_follow_wait : follow_wait;
    request.wait = wait;
    request.wants_large_update = this->wants_large_update;
    this->fetch_timer.expires_after(wait + follow_reply_margin);
    this->fetch_timer.async_wait(
        [this, poll = this->nonce](const boost::system::error_code& error) {
            if (!error) {
                this->on_follow_timeout(poll);
            }
        });
    this->handlers.send(node, request);
}

void fleet_view::on_follow_timeout(std::uint64_t poll)
{
    // The timer may have expired before a reply that was handled first.
    if (poll != this->nonce || !this->followed) {
        return;
    }
    this->source_choice->record_stale_node(*this->followed, boot_clock::now());
    this->followed.reset();
    this->fetch_changes();
}

void fleet_view::receive(const node_id& from, const follow_reply_message& reply)
{
    if (reply.nonce != this->nonce || this->followed != from) {
        return;
    }
    ++this->nonce;
    this->fetch_timer.cancel();
    this->store.learn_era(reply.era, from.value);
    const bool lacks_configuration =
        reply.configuration.empty() &&
        (this->table == nullptr || this->table->revision() < reply.configuration_revision);
    if (reply.has_proof && lacks_configuration) {
        this->read_configuration();
        return;
    }
    if (reply.era != this->position.era) {
        this->receive_from_other_era(from, reply);
        return;
    }
    if (!reply.has_proof || reply.proof_age > max_followed_proof_age || reply.is_history_lost ||
        reply.revision < this->position.revision || !this->adopt_from(from, reply)) {
        this->source_choice->record_stale_node(from, boot_clock::now());
        this->followed.reset();
        if (reply.is_history_lost) {
            this->read_all(read_freshness::newest);
            return;
        }
        this->record_followed_proof(reply);
        this->fetch_changes_after(watch_pause);
        return;
    }
    for (const stored_item& item : reply.items) {
        this->apply(item);
    }
    this->position.revision = reply.revision;
    this->record_followed_proof(reply);
    if (!reply.items.empty() || !reply.configuration.empty()) {
        this->handlers.changed();
    }
    this->fetch_changes_after(watch_pause);
}

void fleet_view::receive_from_other_era(const node_id& from, const follow_reply_message& reply)
{
    const bool is_fresh = reply.has_proof && reply.proof_age <= max_followed_proof_age;
    const bool has_configuration = reply.has_proof && this->adopt_from(from, reply);
    if (has_configuration) {
        this->record_followed_proof(reply);
    }
    if (reply.era < this->position.era) {
        // The node learns of the era from this node's poll and is asked again.
        if (!is_fresh) {
            this->source_choice->record_stale_node(from, boot_clock::now());
            this->followed.reset();
        }
        this->fetch_changes_after(retry_interval);
        return;
    }
    if (!reply.is_whole || !is_fresh || !has_configuration) {
        this->read_all(read_freshness::newest);
        return;
    }
    const store_position at{reply.era, reply.revision};
    this->begin_era(at, from.value);
    this->apply_whole(reply.items, at);
    this->wants_large_update = false;
    this->handlers.changed();
    this->fetch_changes_after(watch_pause);
}

void fleet_view::record_followed_proof(const follow_reply_message& reply)
{
    // The reply was created after the request was sent, so this is a lower bound on the time of the
    // sender's proof.
    if (reply.has_proof && this->table != nullptr &&
        this->table->revision() >= reply.configuration_revision) {
        this->freshness.record_proof(this->followed_at - reply.proof_age);
    }
}

void fleet_view::record_store_proof(time_point as_of)
{
    if (!this->is_behind_era() && this->settlement.proves_currency(as_of)) {
        this->freshness.record_proof(as_of);
    }
}

void fleet_view::read_configuration()
{
    const auto newest = read_freshness::newest;
    this->store.read(this->configuration_key, newest, [this](std::optional<stored_range> range) {
        this->wants_large_update = !range;
        this->record_store_result(range.has_value(), range ? "" : last_failure().detail);
        if (range) {
            for (const stored_item& item : range->items) {
                this->apply(item);
            }
            this->handlers.changed();
        }
        this->fetch_changes();
    });
}

bool fleet_view::adopt_from(const node_id& from, const follow_reply_message& reply)
{
    if (reply.configuration.empty()) {
        return this->table != nullptr && this->table->revision() >= reply.configuration_revision;
    }
    auto next = this->history.apply(reply.configuration, from.value);
    if (!next) {
        log_line{"configuration_rejected"}
            .add("source", from.value)
            .add("detail", last_failure().detail);
        return false;
    }
    this->wants_large_update = false;
    this->adopt(std::move(*next), from.value);
    return true;
}

} // namespace dragonflyroad
