#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/retry_backoff.hpp"
#include "mesh/quota_desk.hpp"
#include "mesh/shared_store.hpp"
#include "mesh/vm_directory.hpp"

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

/// The keys of the fleet in the store.
struct fleet_keys {
    std::string prefix = "dragonflyroad/";

    std::string vm(const node_id& node) const { return this->prefix + "vm/" + node.value; }
    std::string group(std::size_t number) const
    {
        return this->prefix + "quota/" + std::to_string(number);
    }
};

/// What this node holds in the store: its entry and the quota groups that it keeps. All of it hangs
/// on one lease, so a lost node's entry and groups go together. A group is used only while the
/// lease is certainly in force, by a clock that counts suspended time.
class node_registration {
public:
    struct callbacks {
        std::function<void(std::size_t group)> group_lost;
        /// Live nodes, to decide who claims a vacant group first.
        std::function<std::vector<node_id>()> live_nodes;
    };

    node_registration(boost::asio::io_context& loop, shared_store& platform_store, fleet_keys names,
                      callbacks functions);

    void start(const vm_entry& own);
    /// Publishes a changed entry.
    void publish(const vm_entry& own);
    /// Gives the groups up and says that this node takes no new work.
    void begin_stop();
    void finish_stop();

    /// A group's item in the store has changed; nothing when it was removed.
    void on_group(std::size_t group, const std::optional<std::string>& value,
                  store_revision revision);
    /// The own entry has vanished from the store.
    void on_entry_lost();

    std::optional<node_id> keeper_of(std::size_t group) const { return this->keepers.at(group); }
    bool holds_group(std::size_t group) const;

private:
    void grant();
    void on_grant(std::optional<lease_grant> granted, time_point asked);
    void keep();
    void on_kept(lease_outcome outcome, time_point asked);
    void lose_lease();
    bool is_lease_valid(time_point now) const;
    void write_entry();
    /// Counts the reply of a commit for the pause before the next one.
    void note_commit(commit_outcome outcome);
    void claim_groups(time_point now);
    void claim(std::size_t group, store_revision expected);
    std::size_t claim_rank(std::size_t group) const;
    std::string group_value() const;
    void arm_timer();
    void maintain();

    shared_store& store;
    fleet_keys keys;
    callbacks handlers;
    boost::asio::steady_timer timer;
    vm_entry self;
    store_lease lease = 0;
    time_point lease_until{};
    time_point next_keep{};
    time_point first_write_at{};
    std::chrono::milliseconds lease_time{0};
    retry_backoff commit_retry;
    retry_backoff lease_retry;
    std::array<std::optional<node_id>, quota_group_count> keepers;
    std::array<store_revision, quota_group_count> group_revisions{};
    std::array<time_point, quota_group_count> vacant_since{};
    std::set<std::size_t> held;
    std::set<std::size_t> claiming;
    bool is_leasing = false;
    bool is_entry_written = false;
    bool is_writing_entry = false;
    bool is_stopping = false;
};

} // namespace dragonflyroad
