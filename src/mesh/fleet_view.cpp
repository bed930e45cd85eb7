#include "mesh/fleet_view.hpp"

#include "adapters/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// While the newest proof is older than this, this node is assumed to miss changes, so an entry
/// that is missing here is no evidence that its node is gone.
constexpr milliseconds max_view_age{2'600};

/// How long a node stays in the directory after its entry was removed from the store. An entry
/// whose lease expired while the store was unavailable is written again within about two seconds.
constexpr milliseconds missing_node_grace{2'500};

/// Retention of removals for followers. A follower that is further behind reads the whole store
/// again.
constexpr milliseconds removal_retention{30'000};

constexpr milliseconds maintenance_interval{250};

/// Delay of the first read when the whole fleet starts for the first time: every node has written
/// its entry 1.9 s after the first one started, so this read finds the node to follow. Earlier, it
/// would have to watch the store itself.
constexpr milliseconds first_start_read_delay{2'300};

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
    if (first_read == read_freshness::may_be_stale) {
        this->fetch_changes_after(first_start_read_delay);
    }
    else {
        this->read_all(first_read);
    }
    this->arm_maintenance();
}

void fleet_view::stop()
{
    this->maintenance.cancel();
    this->fetch_timer.cancel();
    this->nonce = 0;
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

bool fleet_view::has_changes_for(const follow_message& request) const
{
    return this->position > store_position{request.era, request.after} ||
           (this->table != nullptr && this->table->revision() > request.configuration);
}

follow_reply_message fleet_view::make_follow_reply(const follow_message& request) const
{
    follow_reply_message reply;
    const time_point as_of = this->freshness.as_of();
    const bool is_same_era = request.era == this->position.era;
    const bool is_behind = request.era < this->position.era;
    reply.nonce = request.nonce;
    reply.revision = this->position.revision;
    reply.era = this->position.era;
    // Most followers read a new era from the store: all items are large for the link of one VM.
    reply.is_whole = is_behind && (request.after == 0 || request.wants_large_update);
    reply.is_history_lost =
        is_same_era ? request.after < this->removal_horizon : is_behind && !reply.is_whole;
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
        const bool is_change = is_same_era && item.revision > request.after;
        const bool is_present = !item.is_removed && !this->unconfirmed_until.contains(key);
        if (is_change || (reply.is_whole && is_present)) {
            reply.items.push_back(item);
        }
    }
    return reply;
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
    this->drop_unconfirmed();
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
