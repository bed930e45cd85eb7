#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/currency_proof.hpp"
#include "mesh/quota_desk.hpp"
#include "mesh/routing_table.hpp"
#include "mesh/shared_store.hpp"
#include "mesh/vm_directory.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Where things lie in the store.
struct store_layout {
    /// The operators' configuration.
    std::string configuration_key;
    /// Prefix of the fleet's own keys.
    std::string fleet_prefix = "dragonflyroad/";
};

/// What this node shares with the fleet through the store: it publishes its own entry under a
/// lease, follows the other nodes' entries and the configuration by one watch, and holds quota
/// groups. Every key of a node hangs on one lease, so a lost node's entry and groups go together.
class fleet_state {
public:
    using decode_function = std::function<std::optional<routing_table>(const std::string&)>;

    struct callbacks {
        decode_function decode_configuration;
        std::function<void()> configuration_changed;
        std::function<void(std::size_t group)> group_lost;
    };

    fleet_state(boost::asio::io_context& loop, shared_store& platform_store,
                vm_directory& known_vms, store_layout keys, callbacks functions);

    void start(const vm_entry& own);
    /// Publishes a changed entry.
    void publish(const vm_entry& own);
    /// Gives the groups up and says that this node takes no new work.
    void begin_stop();
    void finish_stop();

    /// The newest configuration known, or null.
    std::shared_ptr<const routing_table> configuration() const { return this->table; }
    const currency_proof& proof() const { return this->currency; }
    /// A peer's configuration and proof; older configurations are ignored.
    void adopt(routing_table table, const std::string& source);
    void note_proof(revision_number revision, time_point as_of);

    std::optional<node_id> keeper_of(std::size_t group) const;
    bool holds_group(std::size_t group) const;
    bool is_store_reachable() const { return this->is_reachable; }

private:
    void read_all();
    void on_read(std::optional<stored_range> range, time_point asked);
    void watch();
    void on_watch(std::optional<stored_changes> changes, time_point asked);
    void apply(const stored_item& item);
    void apply_configuration(const stored_item& item);
    void apply_vm(const stored_item& item);
    void apply_group(const stored_item& item);
    void note_reachable(bool reachable, const std::string& detail);
    void retry_later(void (fleet_state::*action)());

    void grant();
    void on_grant(std::optional<lease_grant> granted, time_point asked);
    void keep();
    void on_kept(lease_outcome outcome, time_point asked);
    void lose_lease();
    bool is_lease_valid(time_point now) const;
    void write_entry();
    void claim_groups();
    void claim(std::size_t group);
    std::size_t claim_rank(std::size_t group) const;
    void arm_maintenance();
    void maintain();

    std::string vm_key(const node_id& node) const;
    std::string group_key(std::size_t group) const;
    std::string group_value() const;

    shared_store& store;
    vm_directory& directory;
    store_layout layout;
    callbacks handlers;
    boost::asio::steady_timer maintenance;
    boost::asio::steady_timer retry;
    std::shared_ptr<const routing_table> table;
    currency_proof currency;
    vm_entry self;
    std::map<std::string, store_revision> revisions;
    std::map<node_id, time_point> missing_since;
    store_revision revision = 0;
    store_lease lease = 0;
    time_point lease_until{};
    time_point next_keep{};
    std::chrono::milliseconds lease_time{0};
    std::array<std::optional<node_id>, quota_group_count> keepers;
    std::array<time_point, quota_group_count> vacant_since{};
    std::set<std::size_t> held;
    std::set<std::size_t> claiming;
    bool is_reachable = false;
    bool is_leasing = false;
    bool is_entry_written = false;
    bool is_writing_entry = false;
    bool is_stopping = false;
};

} // namespace dragonflyroad
