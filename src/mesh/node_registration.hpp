#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/retry_backoff.hpp"
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

    std::string vm(const node_id& node) const { return this->prefix + "vm/" + node.value; }
    std::string group(std::size_t number) const
    {
        return this->prefix + "quota/" + std::to_string(number);
    }
};

/// Maintains what this node holds in the store: its entry and its quota groups. All of these keys
/// are attached to one lease, so the entry and the groups of a lost node expire together. A group
/// is used only while the lease is certain to be valid, measured by a clock that counts suspended
/// time.
class node_registration {
public:
    struct callbacks {
        std::function<void(std::size_t group)> group_lost;
        /// The live nodes, which are ranked to decide the order of claims on a vacant group.
        std::function<std::vector<node_id>()> live_nodes;
    };

    node_registration(boost::asio::io_context& loop, shared_store& platform_store,
                      fleet_keys store_keys, callbacks functions);

    /// Requests a lease, then writes the entry and claims vacant groups under it.
    void start(const node_entry& own);
    /// Writes the entry if it has changed.
    void publish(const node_entry& own);
    /// Releases the groups and publishes an entry without a service, so that no new work arrives.
    void begin_stop();
    /// Ends the lease, which removes the entry.
    void finish_stop();

    /// Handles a change of a group's item in the store; `value` is empty when it was removed.
    void on_group_changed(std::size_t group, const std::optional<std::string>& value,
                          store_revision revision);
    /// Handles the removal of this node's entry from the store.
    void on_entry_lost();

    /// The node that claimed the group last, or nothing while the group is vacant.
    std::optional<node_id> group_holder(std::size_t group) const { return this->holders.at(group); }
    /// Whether this node holds the group under a valid lease.
    bool holds_group(std::size_t group) const;

private:
    void request_lease();
    void on_lease_granted(std::optional<lease_grant> granted, time_point sent_at);
    void renew();
    void on_renewed(lease_outcome outcome, time_point sent_at);
    void lose_lease();
    bool is_lease_valid(time_point now) const;
    void write_entry();
    /// Updates the retry backoff of commits.
    void record_commit(commit_outcome outcome);
    void claim_groups(time_point now);
    void claim(std::size_t group, store_revision expected);
    /// The number of live nodes that claim the group before this one.
    std::size_t claim_rank(std::size_t group) const;
    /// The value of a group's item while this node holds it: node id and lease.
    std::string group_value() const;
    void arm_timer();
    void maintain();

    shared_store& store;
    fleet_keys keys;
    callbacks handlers;
    boost::asio::steady_timer timer;
    node_entry self;
    store_lease lease = 0;
    time_point lease_until{};
    time_point next_renewal{};
    time_point first_write_at{};
    std::chrono::milliseconds lease_time{0};
    retry_backoff commit_retry;
    retry_backoff lease_retry;
    std::array<std::optional<node_id>, quota_group_count> holders;
    std::array<store_revision, quota_group_count> group_revisions{};
    std::array<time_point, quota_group_count> vacant_since{};
    std::set<std::size_t> held_groups;
    std::set<std::size_t> groups_in_claim;
    bool is_lease_call_open = false;
    bool is_entry_written = false;
    bool is_writing_entry = false;
    bool is_stopping = false;
};

} // namespace dragonflyroad
