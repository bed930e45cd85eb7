#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "dispatch/currency_proof.hpp"
#include "dispatch/follow_choice.hpp"
#include "mesh/configuration_history.hpp"
#include "mesh/link_message.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/routing_table.hpp"
#include "mesh/shared_store.hpp"
#include "mesh/vm_directory.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// What this node knows of the fleet: the configuration, the other nodes and who keeps which quota
/// group. It learns of changes by a watch of the store or by following another node, which speaks
/// for the store as long as what it knows is recent; both carry the proof that nothing newer
/// existed.
class fleet_view {
public:
    using decode_function = std::function<std::optional<routing_table>(const std::string&)>;

    struct callbacks {
        decode_function decode_configuration;
        std::function<void(std::size_t group, const std::optional<std::string>& value,
                           store_revision revision)>
            group_changed;
        std::function<void()> own_entry_lost;
        std::function<void(const node_id&, const link_message&)> send;
        /// Something has changed that followers wait for.
        std::function<void()> changed;
    };

    fleet_view(boost::asio::io_context& loop, shared_store& platform_store, vm_directory& known_vms,
               std::string configuration_name, fleet_keys names, callbacks functions);

    void start(const vm_entry& own);
    void stop();

    /// The newest configuration known, or null.
    std::shared_ptr<const routing_table> configuration() const { return this->table; }
    const currency_proof& proof() const { return this->currency; }
    std::vector<node_id> live_nodes() const;

    /// What a follower has not seen yet, and whether that is anything.
    follow_reply_message news_for(const follow_message& question) const;
    bool has_news_for(const follow_message& question) const;
    /// The answer of the node that is followed.
    void receive(const node_id& from, const follow_reply_message& reply);

private:
    void read_all();
    void read_configuration();
    void on_read(std::optional<stored_range> range, time_point asked);
    void learn();
    void watch_store();
    void on_watch(std::optional<stored_changes> changes, time_point asked);
    void follow(const node_id& node);
    void on_follow_timeout();
    bool adopt_from(const node_id& from, const follow_reply_message& reply);
    void learn_after(std::chrono::milliseconds pause);
    void apply(const stored_item& item);
    void apply_configuration(const stored_item& item);
    void adopt(routing_table next, const std::string& source);
    void apply_vm(const stored_item& item);
    void apply_group(const stored_item& item);
    void note_reachable(bool reachable, const std::string& detail);
    std::vector<node_id> centre_nodes() const;
    void arm_maintenance();
    void forget_missing();

    shared_store& store;
    vm_directory& directory;
    std::string configuration_key;
    fleet_keys keys;
    callbacks handlers;
    boost::asio::steady_timer maintenance;
    boost::asio::steady_timer next_step;
    random_engine random;
    std::shared_ptr<const routing_table> table;
    configuration_history history;
    currency_proof currency;
    std::optional<follow_choice> sources;
    vm_entry self;
    /// The fleet's items with their revisions, removed ones included for a while.
    std::map<std::string, stored_item> items;
    std::map<std::string, time_point> removed_at;
    std::map<node_id, time_point> missing_since;
    store_revision revision = 0;
    /// Removals up to this revision are forgotten.
    store_revision removal_horizon = 0;
    store_revision configuration_revision = 0;
    std::optional<node_id> followed;
    std::uint64_t nonce = 0;
    time_point followed_at{};
    time_point started_at{};
    bool is_reachable = false;
    bool wants_large_update = false;
};

} // namespace dragonflyroad
