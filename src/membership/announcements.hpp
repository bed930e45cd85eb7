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
    /// An upstream on the own VM that has not renewed for this long gets no new work.
    duration renewal_window = std::chrono::seconds{3};
    /// Longest time that upstreams of a lost node stay in rotation.
    duration lost_node_grace = std::chrono::seconds{30};
    /// Removal records are kept this long, so that a late copy of an older record cannot bring a
    /// removed upstream back. Longer than a full round of pings at 2,100 nodes (1,050 s).
    duration removal_retention = std::chrono::minutes{30};
};

/// What an upstream tells the node on its VM.
struct upstream_offer {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 0;
    /// `serving` or `draining`.
    announced_state state = announced_state::serving;
};

/// What became of a record received from a peer.
enum class merge_outcome : std::uint8_t { newer, known, older };

/// All announced upstreams known to this node. Own upstreams are kept alive by their renewals;
/// those of peers follow the gossiped records.
class announcement_table {
public:
    explicit announcement_table(incarnation own_run, announcement_settings limits = {});

    /// Takes an announcement or renewal of an upstream on the own VM. Returns the record to spread
    /// when it differs from the previous one; a pure renewal gives nothing.
    std::optional<upstream_record> announce(const upstream_offer& offer, time_point now);

    /// Takes the deregistration of an upstream on the own VM; gives nothing when it is not known.
    std::optional<upstream_record> leave(const upstream_id& upstream, time_point now);

    /// Takes a record from a peer. The highest (run, sequence) wins.
    merge_outcome merge(const upstream_record& record, time_point now);

    /// The announcing run is lost or was replaced by a later run of its node. Upstreams that no
    /// later run has announced stay for a limited time (settings) at most, and only until a request
    /// to them fails.
    void on_node_lost(incarnation run, time_point now);
    /// The announcing run is alive again.
    void on_node_alive(incarnation run);
    /// A request to an upstream failed on the upstream's side.
    void note_failure(const upstream_id& upstream, time_point now);

    /// Ends own upstreams whose renewals stopped, upstreams of lost nodes whose time is over, and
    /// old removal records. Returns the own records to spread.
    std::vector<upstream_record> expire(time_point now);

    /// The upstreams that may get work (`serving`) or finish it (`draining`).
    std::vector<upstream_record> in_rotation() const;
    /// Changes whenever in_rotation() may have changed.
    std::uint64_t version() const;

    /// All records, removals included, to copy the state to a new node.
    std::vector<upstream_record> all() const;

    /// Own records with a sequence above `sequence`, lowest first, `most` at most.
    std::vector<upstream_record> own_since(std::uint64_t sequence, std::size_t most) const;
    /// The highest sequence of the own records.
    std::uint64_t own_sequence() const;
    /// All records of a peer's run up to this sequence are held.
    std::uint64_t synced(incarnation run) const;
    void set_synced(incarnation run, std::uint64_t sequence);

private:
    struct entry {
        upstream_record record;
        /// Own upstreams: when the renewal is overdue. Removal records: when they are dropped.
        std::optional<time_point> expires;
        /// Out of rotation although the record says otherwise: its node is lost.
        bool withheld = false;
    };

    upstream_record store_own(const upstream_record& offered, time_point expires);
    bool is_usable(const entry& known) const;
    void end_lost(time_point now);
    void withhold(entry& known, time_point now);

    incarnation own_run;
    announcement_settings limits;
    std::uint64_t sequence = 0;
    std::uint64_t changes = 0;
    std::unordered_map<upstream_id, entry> entries;
    std::map<std::uint64_t, upstream_id> own_by_sequence;
    std::unordered_map<incarnation, time_point> lost_until;
    std::unordered_map<incarnation, std::uint64_t> synced_to;
};

} // namespace dragonflyroad
