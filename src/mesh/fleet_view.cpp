#include "mesh/fleet_view.hpp"

#include "adapters/log.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <random>
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

/// While the newest proof is older than this, this node is assumed to miss changes, so an entry
/// that is missing here is no evidence that its node is gone.
constexpr milliseconds max_view_age{2'600};

constexpr milliseconds retry_interval{250};

/// How long a node stays in the directory after its entry was removed from the store. An entry
/// whose lease expired while the store was unavailable is written again within about two seconds.
constexpr milliseconds missing_node_grace{2'500};

/// Retention of removals for followers. A follower that is further behind reads the whole store
/// again.
constexpr milliseconds removal_retention{30'000};

constexpr milliseconds maintenance_interval{250};

/// Followers read larger configuration updates from the store: 26 followers of a VM with a link of
/// 11 Mbit/s would wait 0.3 s for an update of this size.
constexpr std::size_t large_update_bytes = 16U << 10U;

} // namespace

fleet_view::fleet_view(boost::asio::io_context& loop, shared_store& platform_store,
                       node_directory& known_vms, std::string configuration_store_key,
                       fleet_keys store_keys, callbacks functions)
    : store(platform_store),
      directory(known_vms),
      configuration_key(std::move(configuration_store_key)),
      keys(std::move(store_keys)),
      handlers(std::move(functions)),
      maintenance(loop),
      fetch_timer(loop),
      random(std::random_device{}())
{
}

void fleet_view::start(const node_entry& own, read_freshness first_read)
{
    this->first_read_freshness = first_read;
    this->self = own;
    this->started_at = boot_clock::now();
    this->source_choice.emplace(own.node);
    this->read_all(first_read);
    this->arm_maintenance();
}

void fleet_view::stop()
{
    this->maintenance.cancel();
    this->fetch_timer.cancel();
    this->nonce = 0;
}

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
            .add("revision", this->revision)
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
    if (!range) {
        this->record_store_result(false, last_failure().detail);
        this->fetch_changes_after(retry_interval);
        return;
    }
    this->record_store_result(true, "");
    std::set<std::string> present;
    for (const stored_item& item : range->items) {
        present.insert(item.key);
        this->apply(item);
    }
    for (const auto& [key, known] : std::map{this->items}) {
        if (!present.contains(key) && !known.is_removed && known.revision <= range->revision) {
            this->apply({key, "", range->revision, true});
        }
    }
    this->revision = std::max(this->revision, range->revision);
    this->freshness.record_proof(proved_at);
    this->handlers.changed();
    this->fetch_changes();
}

void fleet_view::fetch_changes()
{
    const auto source = this->source_choice->choose(this->centre_nodes(), this->live_nodes(),
                                                    this->random, boot_clock::now());
    if (source) {
        this->follow(*source);
    }
    else if (this->revision == 0) {
        this->read_all(this->first_read_freshness);
    }
    else {
        this->watch_store();
    }
}

std::vector<node_id> fleet_view::live_nodes() const
{
    std::vector<node_id> nodes;
    for (const auto& [node, entry] : this->directory.all()) {
        if (!this->missing_since.contains(node)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::vector<node_id> fleet_view::serving_nodes() const
{
    std::vector<node_id> nodes = this->live_nodes();
    std::erase_if(nodes,
                  [&](const node_id& node) { return this->directory.find(node)->service.empty(); });
    return nodes;
}

std::vector<node_id> fleet_view::centre_nodes() const
{
    std::vector<node_id> nodes = this->live_nodes();
    std::erase_if(nodes, [&](const node_id& node) {
        return this->directory.find(node)->centre != this->self.centre;
    });
    return nodes;
}

void fleet_view::watch_store()
{
    const time_point sent_at = boot_clock::now();
    this->store.watch("", this->revision, watch_time,
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
    if (changes->is_history_lost) {
        log_line{"store_history_lost"}.add("revision", this->revision);
        this->read_all(read_freshness::newest);
        return;
    }
    for (const stored_item& item : changes->items) {
        this->apply(item);
    }
    this->revision = std::max(this->revision, changes->revision);
    // A watch that ran for its full time proves that there were no changes until its end. A watch
    // that returned early proves only that nothing newer existed when it was sent.
    const time_point now = boot_clock::now();
    const bool ran_full = changes->items.empty() && now >= sent_at + watch_time;
    this->freshness.record_proof(ran_full ? sent_at + watch_time : sent_at);
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
        log_line{"follow"}.add("node", node.value).add("revision", this->revision);
    }
    this->followed = node;
    this->followed_at = boot_clock::now();
    ++this->nonce;
    follow_message request;
    request.nonce = this->nonce;
    request.after = this->revision;
    request.configuration = this->table == nullptr ? 0 : this->table->revision();
    const node_entry* source = this->directory.find(node);
    const bool is_relay = source != nullptr && source->centre != this->self.centre;
    const milliseconds wait = is_relay ? relay_follow_wait : follow_wait;
    request.wait = wait;
    request.wants_large_update = this->wants_large_update;
    this->fetch_timer.expires_after(wait + follow_reply_margin);
    this->fetch_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->on_follow_timeout();
        }
    });
    this->handlers.send(node, request);
}

void fleet_view::on_follow_timeout()
{
    this->source_choice->record_stale_node(*this->followed, boot_clock::now());
    this->followed.reset();
    this->fetch_changes();
}

void fleet_view::receive(const node_id& from, const follow_reply_message& reply)
{
    if (reply.nonce != this->nonce || this->followed != from) {
        return;
    }
    this->fetch_timer.cancel();
    const time_point now = boot_clock::now();
    const bool lacks_configuration =
        reply.configuration.empty() &&
        (this->table == nullptr || this->table->revision() < reply.configuration_revision);
    if (reply.has_proof && lacks_configuration) {
        this->read_configuration();
        return;
    }
    if (!reply.has_proof || reply.proof_age > max_followed_proof_age || reply.is_history_lost ||
        reply.revision < this->revision || !this->adopt_from(from, reply)) {
        this->source_choice->record_stale_node(from, now);
        this->followed.reset();
        if (reply.is_history_lost) {
            this->read_all(read_freshness::newest);
            return;
        }
        // The sender's proof applies to this node as well if this node's configuration is at least
        // as new.
        if (reply.has_proof && this->table != nullptr &&
            this->table->revision() >= reply.configuration_revision) {
            this->freshness.record_proof(this->followed_at - reply.proof_age);
        }
        this->fetch_changes_after(watch_pause);
        return;
    }
    for (const stored_item& item : reply.items) {
        this->apply(item);
    }
    this->revision = reply.revision;
    // The reply was created after the request was sent, so this is a lower bound on the time of the
    // sender's proof.
    this->freshness.record_proof(this->followed_at - reply.proof_age);
    if (!reply.items.empty() || !reply.configuration.empty()) {
        this->handlers.changed();
    }
    this->fetch_changes_after(watch_pause);
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

bool fleet_view::has_changes_for(const follow_message& request) const
{
    return this->revision > request.after ||
           (this->table != nullptr && this->table->revision() > request.configuration);
}

follow_reply_message fleet_view::make_follow_reply(const follow_message& request) const
{
    follow_reply_message reply;
    const time_point as_of = this->freshness.as_of();
    reply.nonce = request.nonce;
    reply.revision = this->revision;
    reply.is_history_lost = request.after < this->removal_horizon;
    reply.has_proof = this->table != nullptr && as_of != time_point{};
    if (!reply.has_proof) {
        return reply;
    }
    reply.proof_age = std::chrono::ceil<milliseconds>(boot_clock::now() - as_of);
    reply.configuration_revision = this->table->revision();
    reply.configuration = this->history.update_from(request.configuration);
    if (reply.configuration.size() > large_update_bytes && !request.wants_large_update) {
        reply.configuration.clear();
    }
    for (const auto& [key, item] : this->items) {
        if (item.revision > request.after) {
            reply.items.push_back(item);
        }
    }
    return reply;
}

void fleet_view::apply(const stored_item& item)
{
    if (item.key == this->configuration_key) {
        this->apply_configuration(item);
        return;
    }
    if (!item.key.starts_with(this->keys.prefix) && !this->keys.is_evacuation(item.key)) {
        return;
    }
    const auto known = this->items.find(item.key);
    if (known != this->items.end() && item.revision <= known->second.revision) {
        return;
    }
    this->items[item.key] = item;
    this->removed_at.erase(item.key);
    if (item.is_removed) {
        this->removed_at[item.key] = boot_clock::now();
    }
    if (this->keys.is_evacuation(item.key)) {
        this->apply_evacuation(item);
    }
    else if (item.key.starts_with(this->keys.prefix + "vm/")) {
        this->apply_vm(item);
    }
    else if (item.key == this->keys.departures(this->self.node)) {
        if (!item.is_removed) {
            this->handlers.departures_read(item.value);
        }
    }
    else if (item.key.starts_with(this->keys.crash(""))) {
        if (!item.is_removed) {
            this->handlers.crash_reported(item.key, item.value);
        }
    }
    else {
        this->apply_group(item);
    }
}

void fleet_view::apply_configuration(const stored_item& item)
{
    if (item.is_removed || item.revision <= this->configuration_revision) {
        return;
    }
    this->configuration_revision = item.revision;
    auto decoded = this->handlers.decode_configuration(item.value);
    if (!decoded) {
        log_line{"configuration_rejected"}
            .add("source", "store")
            .add("store_revision", item.revision)
            .add("detail", last_failure().detail);
        this->configuration_rejection = last_failure().detail;
        return;
    }
    this->configuration_rejection.clear();
    if (this->table == nullptr || decoded->revision() > this->table->revision()) {
        this->history.add(*decoded);
    }
    this->adopt(std::move(*decoded), "store");
}

void fleet_view::adopt(routing_table next, const std::string& source)
{
    if (this->table != nullptr && next.revision() <= this->table->revision()) {
        return;
    }
    log_line{"configuration"}.add("revision", next.revision()).add("source", source);
    this->table = std::make_shared<const routing_table>(std::move(next));
    this->adopted_at = boot_clock::now();
}

replica_status fleet_view::status(time_point now) const
{
    replica_status state;
    state.revision = this->table == nullptr ? 0 : this->table->revision();
    state.in_force_since = this->adopted_at;
    state.proved_until = this->freshness.as_of();
    state.source = this->followed ? this->followed->value : "store";
    if (!this->configuration_rejection.empty()) {
        state.waits_for = "a valid configuration: " + this->configuration_rejection;
    }
    else if (this->table == nullptr || !this->freshness.is_recent(now, max_view_age)) {
        state.waits_for = this->followed ? "node " + this->followed->value : "the store";
        if (!this->store_failure.empty()) {
            state.waits_for += ", the last call to the store failed: " + this->store_failure;
        }
    }
    return state;
}

void fleet_view::apply_vm(const stored_item& item)
{
    const node_id node{item.key.substr(this->keys.vm(node_id{}).size())};
    if (node == this->self.node) {
        if (item.is_removed) {
            this->handlers.own_entry_lost();
        }
        return;
    }
    if (item.is_removed) {
        this->missing_since[node] = boot_clock::now();
        return;
    }
    const auto entry = node_entry::from_text(item.value, item.key);
    if (!entry || entry->node != node) {
        log_line{"node_entry_rejected"}.add("key", item.key).add("detail", last_failure().detail);
        return;
    }
    this->missing_since.erase(node);
    this->directory.put(*entry);
    this->handlers.entry_written(node);
}

void fleet_view::apply_group(const stored_item& item)
{
    for (std::size_t group = 0; group < quota_group_count; ++group) {
        if (this->keys.group(group) == item.key) {
            this->handlers.group_changed(
                group, item.is_removed ? std::nullopt : std::optional{item.value}, item.revision);
        }
    }
}

void fleet_view::apply_evacuation(const stored_item& item)
{
    const data_centre centre{item.key.substr(this->keys.evacuation_prefix.size())};
    auto& evacuations = this->directory.evacuations;
    // The request is the item itself; its value carries nothing.
    if (item.is_removed ? evacuations.remove(centre) : evacuations.add(centre)) {
        log_line{"evacuation"}
            .add("centre", centre.value)
            .add("state", item.is_removed ? "taken_back" : "begun")
            .add("store_revision", item.revision);
        this->handlers.evacuation_changed(centre, !item.is_removed);
    }
}

void fleet_view::arm_maintenance()
{
    this->maintenance.expires_after(maintenance_interval);
    this->maintenance.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            this->remove_missing_nodes();
            this->arm_maintenance();
        }
    });
}

void fleet_view::remove_missing_nodes()
{
    const time_point now = boot_clock::now();
    for (const auto& [node, since] : std::map{this->missing_since}) {
        // Without a recent proof this node may miss changes, so a missing entry is no evidence that
        // its node is gone.
        if (this->freshness.is_recent(now, max_view_age) && now > since + missing_node_grace) {
            log_line{"node_gone"}.add("node", node.value);
            this->directory.remove(node);
            this->missing_since.erase(node);
        }
    }
    for (const auto& [key, since] : std::map{this->removed_at}) {
        if (now > since + removal_retention) {
            this->removal_horizon = std::max(this->removal_horizon, this->items[key].revision);
            this->items.erase(key);
            this->removed_at.erase(key);
        }
    }
}

} // namespace dragonflyroad
