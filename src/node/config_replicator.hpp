#pragma once

#include "adapters/rpc_client.hpp"
#include "adapters/rpc_server.hpp"
#include "config/snapshot_codec.hpp"
#include "node/config_controller.hpp"
#include "node/membership_controller.hpp"
#include "node/periodic_task.hpp"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Replicates the configuration between nodes: serves changes and snapshots on the peer port,
/// fetches them from a peer with a higher revision, and determines whether this node is one of the
/// two in its data centre that watch the store. Fetches run one at a time.
class config_replicator {
public:
    struct dependencies {
        node_id self;
        data_centre centre;
        std::string peer_address;
        std::vector<std::string> seeds;
        std::string secret;
        config_controller& config;
        membership_controller& members;
    };

    explicit config_replicator(dependencies given);

    /// Registers changes_since and snapshot on the peer port.
    void add_methods(rpc_server& server);
    void start();
    void stop();

    /// Called by membership with its lock held.
    void handle_membership_update(const membership_update& update);
    /// The latest revision that the peer reported.
    std::optional<revision_number> revision_of(const node_id& peer) const;

private:
    using snapshot_parts = std::vector<snapshot_part>;

    duration run();
    void update_watch_role(time_point now);
    void release_snapshot(time_point now);
    std::optional<std::string> choose_fetch_address(time_point now);
    void fetch(const std::string& address);
    void fetch_snapshot(const std::string& address);
    std::optional<nlohmann::json> on_changes_since(const nlohmann::json& params);
    std::optional<nlohmann::json> on_snapshot(const nlohmann::json& params);
    std::shared_ptr<const snapshot_parts> snapshot_parts_for(revision_number revision,
                                                             std::size_t index);

    dependencies deps;
    rpc_client client;
    mutable std::mutex mutex;
    std::map<node_id, revision_number> revisions;
    /// Address and revision of the peer that reported the highest revision above this node's own
    /// since the last fetch.
    std::string newer_address;
    revision_number newer_revision = 0;
    std::size_t next_fetch_index = 0;
    std::vector<std::string> fetch_addresses;
    time_point next_bootstrap;
    // The snapshot that is being served, kept while callers fetch its parts.
    std::mutex served_mutex;
    std::shared_ptr<const snapshot_parts> served_snapshot;
    time_point snapshot_reuse_until;
    std::atomic<bool> stopping = false;
    std::unique_ptr<periodic_task> task;
};

} // namespace dragonflyroad
