#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/retry_backoff.hpp"
#include "dispatch/group_tenure.hpp"
#include "mesh/held_lease.hpp"
#include "mesh/node_directory.hpp"
#include "mesh/quota_coordinator.hpp"
#include "mesh/shared_store.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// The store keys that the fleet uses.
struct fleet_keys {
    std::string prefix = "dragonflyroad/";
    /// Under this prefix, operators write the name of a data centre that is to get no work. The
    /// request stands until the item is removed. Empty: there are no such requests.
    std::string evacuation_prefix;

    /// The mark of the era that has settled; see era_settlement.
    std::string era() const { return this->prefix + "era"; }
    std::string vm(const node_id& node) const { return this->prefix + "vm/" + node.value; }
    std::string crash(const std::string& name) const { return this->prefix + "crash/" + name; }
    /// The lifetimes of the upstream beside the node that have left.
    std::string departures(const node_id& node) const
    {
        return this->prefix + "left/" + node.value;
    }
    bool is_evacuation(const std::string& key) const
    {
        return !this->evacuation_prefix.empty() && key.starts_with(this->evacuation_prefix);
    }
    std::string group(std::size_t number) const
    {
        return this->prefix + "quota/" + std::to_string(number);
    }
};

/// Maintains what this node holds in the store: its entry and its quota groups. The entry has a
/// long lease. The groups have a short one, which only the nodes that hold groups ask for; a group
/// is used only while that lease is certain to be valid.
class node_registration {
public:
    struct callbacks {
        std::function<void(std::size_t group)> group_lost;
        /// The live nodes whose upstream accepts work. They are ranked to decide the order of
        /// claims on a vacant group.
        std::function<std::vector<node_id>()> live_nodes;
        /// Whether the store's era began so long ago that no lease of an earlier one lasts.
        std::function<bool()> is_era_settled;
        /// A new era of the store was seen, so what this node wrote may be gone.
        std::function<void()> era_begun;
    };

    node_registration(boost::asio::io_context& loop, shared_store& platform_store,
                      fleet_keys store_keys, callbacks functions);

    /// Writes the entry once its lease is granted, and claims vacant groups. At the first start of
    /// the whole fleet the claims wait until the nodes know each other.
    void start(const node_entry& own, bool is_first_start);
    /// Writes the entry if it has changed.
    void publish(const node_entry& own);
    /// Releases the groups and publishes an entry without a service, so that no new work arrives.
    void begin_stop();
    /// Ends the leases, which removes the entry.
    void finish_stop();

    /// Handles a change of a group's item in the store; `value` is empty when it was removed.
    void on_group_changed(std::size_t group, const std::optional<std::string>& value,
                          const store_position& changed_at);
    /// Handles the removal of this node's entry from the store.
    void on_entry_lost();

    /// The node that claimed the group last, or nothing while the group is vacant. While no holder
    /// of a new era may admit yet, the holder in the ended one, whose right may still last.
    std::optional<node_id> group_holder(std::size_t group) const;
    /// Whether this node may admit requests for the group; see group_tenure.
    bool holds_group(std::size_t group);

private:
    /// Takes note of a new era of the store: leases, entry and claims of the ended one don't count.
    void sync_era();
    void release_lapsed_groups(time_point now);
    void release_group(std::size_t group);
    std::vector<std::size_t> held_groups() const;
    void lose_groups();
    void remove_entry();
    void on_entry_lease_granted();
    void write_entry();
    /// Updates the retry backoff of commits.
    void record_commit(commit_outcome outcome);
    void claim_groups(time_point now);
    void claim(std::size_t group, store_revision expected);
    /// The number of live nodes that claim the group before this one.
    std::size_t claim_rank(std::size_t group) const;
    /// The value of a group's item while this node holds it: node id, lease and, where the store
    /// states one, the era of the lease.
    std::string group_value() const;
    void arm_timer();
    void maintain();

    shared_store& store;
    fleet_keys keys;
    callbacks handlers;
    boost::asio::steady_timer timer;
    node_entry self;
    time_point first_write_at{};
    retry_backoff commit_retry;
    held_lease entry_lease;
    held_lease group_lease;
    std::array<std::optional<node_id>, quota_group_count> holders;
    std::array<store_revision, quota_group_count> group_revisions{};
    std::array<time_point, quota_group_count> vacant_since{};
    group_tenure tenure;
    std::array<std::optional<node_id>, quota_group_count> former_holders;
    time_point former_holders_until{};
    /// The era that leases, entry and claims belong to; nothing before the store's first answer.
    std::optional<store_era> era;
    std::set<std::size_t> groups_in_claim;
    bool is_entry_written = false;
    bool is_writing_entry = false;
    bool is_stopping = false;
};

} // namespace dragonflyroad
