#pragma once

#include "adapters/metrics.hpp"
#include "adapters/store.hpp"
#include "adapters/stored_configuration.hpp"
#include "config/freshness.hpp"
#include "config/replica.hpp"
#include "core/random.hpp"
#include "node/decision_interfaces.hpp"
#include "node/shared_node_state.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// How this node follows the configuration, as derived from the nodes that it knows.
struct config_watch_role {
    /// Whether this node is one of those in its data centre that watch the head in the store.
    bool watches = true;
    /// Numbers of known nodes and of nodes with contact in both directions, including this one.
    std::size_t known_nodes = 1;
    std::size_t reachable_nodes = 1;
};

/// `refused`: refusals of corrupt heads in the store, and of decoded changes that could not be
/// applied. `older`: heads in the store that were older than this node's configuration.
struct config_counts {
    std::uint64_t refused = 0;
    std::uint64_t older = 0;
};

/// Keeps the node's configuration up to date: follows the head in the store, adopts changes and
/// snapshots from peers, and publishes the result in shared_node_state. The revision never
/// decreases. Thread-safe.
class config_controller : public freshness_monitor {
public:
    config_controller(std::shared_ptr<store> source, shared_node_state& shared_state,
                      std::uint64_t seed = 0);

    /// Watches the head if this node is a watcher, otherwise reads it if the latest proof is too
    /// old, and adopts a newer revision. Returns how long to wait before the next call.
    duration follow_head();

    void set_watch_role(const config_watch_role& value);

    /// Adopts changes or a snapshot from a peer.
    adoption_result adopt(const std::vector<change>& changes, const std::string& peer);
    adoption_result adopt(configuration snapshot, const std::string& peer);
    /// Returns the changes after a revision, for a peer; nothing if the peer needs a snapshot.
    std::optional<std::vector<change>> changes_since(revision_number after) const;

    /// Records a peer's statement that `revision` was the newest one at `as_of`.
    void record_relayed_proof(revision_number revision, time_point as_of);
    /// Latest time at which this node's revision was proved to be the newest one.
    std::optional<time_point> proof() const;
    configuration_freshness state(time_point now) override;

    revision_number revision() const;
    std::shared_ptr<const configuration> current() const { return this->replica.current(); }
    config_counts counts() const;
    void add_metrics(metrics& target);

    /// Waits until a configuration of at least that revision is published; false at the deadline.
    bool wait_for_revision(revision_number revision, time_point deadline);

private:
    duration watch();
    duration read_if_proof_is_old();
    duration process_head(const store_value& value, time_point sent_at);
    duration reject_stored_head(const store_value& value, const char* event);
    adoption_result adopt_stored(const head_record& head, time_point deadline);
    adoption_result publish(adoption_result result, const std::string& peer);
    void log_read_failure();
    void record_proof(time_point as_of);

    std::shared_ptr<store> source;
    shared_node_state& shared_state;

    // Used only by the thread that calls follow_head().
    random_engine random;
    std::uint64_t version = 0;
    /// Revision of the head at `version`. A store whose head is older than this node's
    /// configuration does not prove that the configuration is current.
    revision_number head_revision = 0;
    /// Store version of the latest rejected head, which is neither decoded nor logged again.
    std::optional<std::uint64_t> refused_version;
    bool has_read_failed = false;
    duration read_pause_limit;

    mutable std::mutex mutex;
    std::condition_variable published;
    config_replica replica;
    freshness proofs;
    std::uint64_t refused_heads = 0;
    std::uint64_t old_heads = 0;
    /// Highest revision of a relayed proof that this node could not use, because it had not adopted
    /// that revision, and the time of the proof. Adoption records the proof and resets its time.
    revision_number awaited_revision = 0;
    std::optional<time_point> awaited_proof;
    config_watch_role watch_role;
};

} // namespace dragonflyroad
