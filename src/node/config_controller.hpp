#pragma once

#include "adapters/config_source.hpp"
#include "adapters/metrics.hpp"
#include "adapters/store.hpp"
#include "config/freshness.hpp"
#include "config/replica.hpp"
#include "core/random.hpp"
#include "node/blackboard.hpp"
#include "node/gates.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// What membership contributes to the following of the configuration.
struct config_duty {
    /// Whether this node is one of those in its data centre that watch the head.
    bool watches = true;
    /// Known nodes and those with contact in both directions, this one included.
    std::size_t known_nodes = 1;
    std::size_t heard_nodes = 1;
};

/// How often the store or a peer offered a corrupt configuration, and how often the store had one
/// older than the node's own.
struct config_counts {
    std::uint64_t refused = 0;
    std::uint64_t older = 0;
};

/// Keeps the node's configuration: follows the head in the store, adopts what peers send, and
/// publishes the result on the blackboard. Its revision only rises. Thread-safe.
class config_controller : public freshness_gate {
public:
    config_controller(std::shared_ptr<store> source, blackboard& board, std::uint64_t seed = 0);

    /// Watches or reads the head if that is this node's duty, and adopts what is new; returns how
    /// long to pause before the next call.
    duration follow();

    void set_duty(const config_duty& value);

    /// Adopts changes or a snapshot from a peer.
    adoption adopt(const std::vector<change>& changes, const std::string& peer);
    adoption adopt(configuration snapshot, const std::string& peer);
    /// The changes after a revision, for a peer; nothing when it needs a snapshot.
    std::optional<std::vector<change>> changes_since(revision_number after) const;

    /// Notes that `revision` was the newest one at `as_of`, as a peer stated.
    void note_relayed_proof(revision_number revision, time_point as_of);
    /// Latest time at which no revision above the own one existed, as far as this node can prove.
    std::optional<time_point> proof() const;
    proof_state state(time_point now) override;

    revision_number revision() const;
    std::shared_ptr<const configuration> current() const { return this->replica.current(); }
    config_counts counts() const;
    void add_metrics(metrics& target);

    /// Waits until a configuration of at least that revision is published.
    bool wait_for_revision(revision_number revision, time_point deadline);

private:
    duration watch();
    duration read_if_unproved();
    duration take(const store_value& value, time_point asked_at);
    duration refuse(const store_value& value, const char* event);
    adoption adopt_stored(const head_record& head, time_point deadline);
    adoption publish(adoption result, const std::string& peer);
    void note_unread();
    void note_proof(time_point as_of);

    std::shared_ptr<store> source;
    blackboard& board;

    // Used by the thread that calls follow().
    random_engine random;
    std::uint64_t version = 0;
    /// The revision of the head at `version`. A store that answers with an older head than the one
    /// this node has proves nothing.
    revision_number head_revision = 0;
    /// The version in the store that was refused; it is not reported or read again.
    std::optional<std::uint64_t> refused_version;
    bool is_unread = false;
    duration longest_read_pause;

    mutable std::mutex mutex;
    std::condition_variable published;
    config_replica replica;
    freshness proofs;
    std::uint64_t refused_heads = 0;
    std::uint64_t old_heads = 0;
    /// The newest relayed proof of a revision that this node does not have yet.
    revision_number awaited_revision = 0;
    std::optional<time_point> awaited_proof;
    config_duty duty;
};

} // namespace dragonflyroad
