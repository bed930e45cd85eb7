#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "dispatch/change_source_selector.hpp"
#include "dispatch/era_settlement.hpp"
#include "dispatch/freshness_proof.hpp"
#include "mesh/configuration_history.hpp"
#include "mesh/link_message.hpp"
#include "mesh/node_directory.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/node_report.hpp"
#include "mesh/routing_table.hpp"
#include "mesh/shared_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// This node's replica of the fleet's shared state: the configuration, the entries of the nodes and
/// the holders of the quota groups. Changes come from a watch of the store or from following
/// another node by long polling. A node is followed only while its replica is fresh enough. Both
/// the store and a followed node prove up to which time no newer change existed.
///
/// The replica is of one era of the store. When the store has come back from an older copy, all
/// items are read again; what is missing then was lost and is kept for a while, since its writer
/// writes it again. The configuration in force stays, as its own revision decides.
class fleet_view {
public:
    using decode_function = std::function<std::optional<routing_table>(const std::string&)>;

    struct callbacks {
        decode_function decode_configuration;
        std::function<void(std::size_t group, const std::optional<std::string>& value,
                           const store_position& changed_at)>
            group_changed;
        std::function<void()> own_entry_lost;
        /// The value of an entry by which a node reports a crash of its upstream.
        std::function<void(const std::string& key, const std::string& value)> crash_reported;
        /// The store has lost such an entry with an era, and its writer may have ended.
        std::function<void(const std::string& key, const std::string& value)> crash_report_lost;
        /// An operator asks to evacuate a data centre, or takes the request back.
        std::function<void(const data_centre&, bool is_evacuated)> evacuation_changed;
        /// The record of the departures at the upstream beside a node.
        std::function<void(const node_id&, const std::string& value, const store_position& at)>
            departures_read;
        /// Another node has written its entry, so it can be reached again.
        std::function<void(const node_id&)> entry_written;
        std::function<void(const node_id&, const link_message&)> send;
        /// The replica has changed, so waiting followers can be answered.
        std::function<void()> changed;
    };

    fleet_view(boost::asio::io_context& loop, shared_store& platform_store,
               node_directory& known_vms, std::string configuration_store_key,
               fleet_keys store_keys, callbacks functions);

    /// `first_read` may be stale only where a later proof is no hurry: a node that starts among
    /// running ones serves its callers as soon as its first read proves the configuration.
    void start(const node_entry& own, read_freshness first_read);
    void stop();

    /// The newest configuration known, or null before the first one.
    std::shared_ptr<const routing_table> configuration() const { return this->table; }
    /// The time up to which the configuration is known to have been the newest.
    const freshness_proof& proof() const { return this->freshness; }
    /// The known nodes, this one included, except those whose entry was removed from the store.
    std::vector<node_id> live_nodes() const;
    /// The live nodes whose upstream accepts work. A node that stops is not among them.
    std::vector<node_id> serving_nodes() const;

    /// Where the replica comes from, and what it waits for at this time.
    replica_status status(time_point now) const;

    /// Whether this node has read the fleet's entries from the store or from a node that has.
    bool has_read_store() const { return this->position.revision != 0; }
    /// The same of the newest era of the store that this node has seen.
    bool has_read_era() const { return this->has_read_store() && !this->is_behind_era(); }
    /// Whether the last call to the store succeeded. A node that follows another one makes none,
    /// and takes it that the store would answer.
    bool is_store_answering() const { return this->is_reachable || this->followed.has_value(); }

    /// Whether the store's era began so long ago that no lease of an earlier one lasts.
    bool is_era_settled() const;
    /// Learns the era and the configuration that a follower states in its poll.
    void note_follower(const node_id& from, const follow_message& request);

    /// The changes after the revisions stated in the request, with the age of this node's proof.
    follow_reply_message make_follow_reply(const follow_message& request) const;
    /// Whether this node has a change that the follower lacks.
    bool has_changes_for(const follow_message& request) const;
    /// Handles the reply to the latest poll of the followed node; other replies are ignored.
    void receive(const node_id& from, const follow_reply_message& reply);

private:
    void read_all(read_freshness wanted);
    void read_configuration();
    /// `proved_at` is the time at which the items were the newest, zero when it is unknown.
    void on_read(std::optional<stored_range> range, time_point proved_at);
    void fetch_changes();
    void watch_store();
    void on_watch(std::optional<stored_changes> changes, time_point sent_at);
    void follow(const node_id& node);
    void on_follow_timeout(std::uint64_t poll);
    void receive_from_other_era(const node_id& from, const follow_reply_message& reply);
    /// Records a proof of the followed node, which holds here if this node's configuration is at
    /// least as new.
    void record_followed_proof(const follow_reply_message& reply);
    /// Records that the store's answer to a call sent at this time contained nothing newer.
    void record_store_proof(time_point as_of);
    void write_era_mark();
    /// Whether the store has begun an era of which this node has read nothing.
    bool is_behind_era() const;
    /// Starts the replica of a new era; `first` is the position of its first answer.
    void begin_era(const store_position& first, const std::string& source);
    /// Applies all items of the store at a position. The others are gone.
    void apply_whole(const std::vector<stored_item>& all, const store_position& at);
    void keep_unconfirmed(const std::string& key);
    void drop_unconfirmed();
    bool adopt_from(const node_id& from, const follow_reply_message& reply);
    void fetch_changes_after(std::chrono::milliseconds pause);
    void apply(const stored_item& item);
    void apply_configuration(const stored_item& item);
    void adopt(routing_table next, const std::string& source);
    void apply_vm(const stored_item& item);
    void apply_group(const stored_item& item);
    void apply_evacuation(const stored_item& item);
    void record_store_result(bool reachable, const std::string& detail);
    std::vector<node_id> centre_nodes() const;
    void arm_maintenance();
    void remove_missing_nodes();

    shared_store& store;
    node_directory& directory;
    std::string configuration_key;
    fleet_keys keys;
    callbacks handlers;
    boost::asio::steady_timer maintenance;
    boost::asio::steady_timer fetch_timer;
    random_engine random;
    std::shared_ptr<const routing_table> table;
    configuration_history history;
    freshness_proof freshness;
    std::optional<change_source_selector> source_choice;
    node_entry self;
    /// The fleet's items by key. Removed items are kept for a while so that followers learn of the
    /// removal.
    std::map<std::string, stored_item> items;
    std::map<std::string, time_point> removed_at;
    std::map<node_id, time_point> missing_since;
    /// The items that the store has lost with an era, and until when their writers are expected to
    /// write them again. An entry is kept as long as its lease could have lasted.
    std::map<std::string, time_point> unconfirmed_until;
    store_position position;
    era_settlement settlement;
    /// Removals up to this revision may have been discarded.
    store_revision removal_horizon = 0;
    store_revision configuration_revision = 0;
    std::optional<node_id> followed;
    std::uint64_t nonce = 0;
    time_point followed_at{};
    time_point started_at{};
    time_point adopted_at{};
    /// Why the last call to the store failed; empty when it succeeded.
    std::string store_failure;
    /// Why the newest configuration in the store was rejected; empty when it was not.
    std::string configuration_rejection;
    read_freshness first_read_freshness = read_freshness::newest;
    bool is_reachable = false;
    bool wants_large_update = false;
    bool is_writing_mark = false;
};

} // namespace dragonflyroad
