#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "membership/messages.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

struct announcement_settings {
    /// An upstream on this VM that has not renewed its announcement for this long gets no new work.
    duration renewal_window = std::chrono::seconds{3};
    /// Maximum time for which upstreams of a lost node stay in rotation.
    duration lost_node_grace = std::chrono::seconds{30};
    /// Tombstones are kept for this long, so that a delayed copy of an older record cannot restore
    /// a removed upstream. Longer than a full pass of pings over 2,100 nodes (1,050 s).
    duration tombstone_retention = std::chrono::minutes{30};
};

/// State that an upstream reports to the node on its VM.
struct local_upstream_state {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 0;
    /// `serving` or `draining`; `unregistered` makes announce() deregister the upstream.
    announced_state state = announced_state::serving;
};

/// Result of merging a record received from a peer: `newer` replaced the stored record, `known`
/// equals it, `older` was ignored.
enum class merge_outcome : std::uint8_t { newer, known, older };

/// All announced upstreams that this node knows. Upstreams on this VM stay registered while they
/// renew their announcements; those on other VMs are updated by records from peers.
class announcement_table {
public:
    explicit announcement_table(incarnation own_incarnation, announcement_settings limits = {});

    /// Registers or renews an upstream on this VM. Returns the record to gossip if it differs from
    /// the previous one, and nothing for a mere renewal.
    std::optional<upstream_record> announce(const local_upstream_state& offer, time_point now);

    /// Deregisters an upstream on this VM and returns its tombstone to gossip, or nothing if the
    /// upstream is not registered.
    std::optional<upstream_record> deregister(const upstream_id& upstream, time_point now);

    /// Merges a record from a peer. The record with the highest (incarnation, sequence) wins.
    merge_outcome merge(const upstream_record& record, time_point now);

    /// Called when the announcing incarnation is lost, has left or was replaced by a later
    /// incarnation of its node. Upstreams that were last announced by this incarnation stay in
    /// rotation until a request to them fails, but for `lost_node_grace` at most.
    void on_node_lost(incarnation node_incarnation, time_point now);
    /// Called when the announcing incarnation is reachable again; puts its upstreams back into
    /// rotation.
    void on_node_alive(incarnation node_incarnation);
    /// Records that a request failed through the fault of the upstream. If the node of the upstream
    /// is lost, the upstream leaves rotation at once.
    void record_failure(const upstream_id& upstream, time_point now);

    /// Expires upstreams on this VM whose renewals stopped, upstreams of lost nodes after the grace
    /// period, and old tombstones. Returns the tombstones of the expired upstreams on this VM,
    /// which the caller gossips.
    std::vector<upstream_record> expire(time_point now);

    /// Upstreams that may receive new work (`serving`) or finish their current work (`draining`),
    /// sorted by id.
    std::vector<upstream_record> in_rotation() const;
    /// Changes whenever the result of in_rotation() may have changed.
    std::uint64_t version() const;

    /// All records including tombstones, for copying the state to a new node.
    std::vector<upstream_record> all_records() const;

    /// Returns at most `max_count` records of this node with a sequence above `sequence`, lowest
    /// first.
    std::vector<upstream_record> own_records_after(std::uint64_t sequence,
                                                   std::size_t max_count) const;
    /// Highest sequence of the records of this node.
    std::uint64_t last_own_sequence() const;
    /// The sequence up to which this node holds all records of a peer's incarnation.
    std::uint64_t synced_sequence(incarnation node_incarnation) const;
    void record_synced_sequence(incarnation node_incarnation, std::uint64_t sequence);

private:
    struct entry {
        upstream_record record;
        /// For an upstream on this VM, the time by which it must renew; for a tombstone or a record
        /// out of rotation, the time of its removal.
        std::optional<time_point> expires;
        /// Whether the upstream is out of rotation, although the record says otherwise, because its
        /// node is lost.
        bool out_of_rotation = false;
    };

    upstream_record store_own_record(const upstream_record& offered, time_point expires);
    bool is_usable(const entry& known) const;
    void expire_lost_nodes(time_point now);
    void remove_from_rotation(entry& known, time_point now);

    incarnation own_incarnation;
    announcement_settings limits;
    std::uint64_t sequence = 0;
    std::uint64_t rotation_version = 0;
    std::unordered_map<upstream_id, entry> entries;
    std::map<std::uint64_t, upstream_id> own_by_sequence;
    std::unordered_map<incarnation, time_point> lost_node_deadlines;
    std::unordered_map<incarnation, std::uint64_t> synced_sequences;
};

} // namespace dragonflyroad
