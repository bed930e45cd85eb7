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

/// Spreads the configuration between nodes: serves changes and snapshots on the peer port, fetches
/// them from a peer that has a higher revision, and decides which nodes of a data centre watch the
/// store. One fetch runs at a time.
class config_peers {
public:
    struct parts {
        node_id self;
        data_centre centre;
        std::string peer_address;
        std::vector<std::string> seeds;
        std::string secret;
        config_controller& config;
        membership_controller& members;
    };

    explicit config_peers(parts given);

    /// Registers changes_since and snapshot on the peer port.
    void add_methods(rpc_server& server);
    void start();
    void stop();

    /// For membership, which holds its own lock meanwhile.
    void take_news(const membership_news& news);
    /// The latest revision that a peer stated.
    std::optional<revision_number> revision_of(const node_id& peer) const;

private:
    using snapshot_parts = std::vector<snapshot_part>;

    duration run();
    void update_duty(time_point now);
    void release_snapshot(time_point now);
    std::optional<std::string> choose_source(time_point now);
    void fetch(const std::string& address);
    void fetch_snapshot(const std::string& address);
    std::optional<nlohmann::json> show_changes(const nlohmann::json& params);
    std::optional<nlohmann::json> show_snapshot(const nlohmann::json& params);
    std::shared_ptr<const snapshot_parts> parts_of(revision_number revision, std::size_t index);

    parts own;
    rpc_client client;
    mutable std::mutex mutex;
    std::map<node_id, revision_number> revisions;
    /// The peer that stated the highest revision above the own one.
    std::string ahead_address;
    revision_number ahead_revision = 0;
    std::size_t next_source = 0;
    std::vector<std::string> sources;
    time_point next_bootstrap;
    /// The snapshot being served, kept while it is in use.
    std::mutex served_mutex;
    std::shared_ptr<const snapshot_parts> served;
    time_point served_until;
    std::atomic<bool> stopping = false;
    std::unique_ptr<periodic_task> task;
};

} // namespace dragonflyroad
