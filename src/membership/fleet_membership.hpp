#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "membership/announcement_table.hpp"
#include "membership/datagram_signer.hpp"
#include "membership/peer_table.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// Payload and destination ("ip:port") of a UDP datagram.
struct datagram {
    std::string address;
    std::string bytes;
};

struct membership_settings {
    peer_settings peers;
    announcement_settings announcements;
};

/// Result of tick(): datagrams to send, peer state changes, and the length of a detected pause of
/// this process (zero if none).
struct membership_tick {
    std::vector<datagram> datagrams;
    std::vector<state_change> changes;
    duration paused{};
};

/// Result of processing one received datagram.
struct membership_update {
    /// False if the datagram was rejected. The reason is in last_failure(), and rejections are
    /// counted.
    bool accepted = false;
    std::vector<datagram> datagrams;
    /// The sender with its configuration revision and seat version. A node that is behind fetches
    /// the changes from `rpc_address`, which is empty while the descriptor of the sender is
    /// unknown.
    node_id from;
    std::string rpc_address;
    revision_number revision = 0;
    std::uint64_t seat_version = 0;
    std::optional<ack_evidence> evidence;
    /// Entries that this node did not know yet.
    std::vector<upstream_record> upstreams;
    std::vector<crash_report> crashes;
    std::vector<ejection_report> ejections;
};

/// Membership of one node: combines the peer table, gossip and announcements, and exchanges signed
/// datagrams. The caller sends the returned datagrams and calls tick() at next_tick(); any call may
/// make next_tick() earlier. Not thread-safe; a single controller owns it.
class fleet_membership {
public:
    fleet_membership(const peer_descriptor& self, std::vector<std::string> seed_addresses,
                     std::string fleet_secret, membership_settings given = {});

    membership_tick tick(time_point now, random_engine& random);
    membership_update on_datagram(std::string_view bytes, time_point now, random_engine& random);
    time_point next_tick() const { return this->table.next_tick(); }

    /// Replaces the state advertised in later messages. If `urgent_revisions` is set, a higher
    /// revision brings the next ping round forward.
    void set_advertised_state(advertised_state facts, time_point now);

    /// Registers, renews or deregisters an upstream on this VM.
    void announce(const local_upstream_state& offer, time_point now);
    void deregister_upstream(const upstream_id& upstream, time_point now);
    /// Merges records copied from a peer over JSON-RPC.
    void merge(const std::vector<upstream_record>& records, time_point now);
    /// Records that a request failed through the fault of the upstream.
    void record_failure(const upstream_id& upstream, time_point now);

    /// Queues crash and ejection reports of this node for gossip.
    void report(const crash_report& crash, time_point now);
    void report(const ejection_report& ejection, time_point now);

    /// Announces the shutdown of this node: gossips its descriptor marked as `leaving`. Peers then
    /// keep its upstreams in rotation for `lost_node_grace` at most. Keep calling tick() until the
    /// remaining requests have finished.
    void leave(time_point now);

    /// Returns a membership of the same node under a later incarnation, with the peers and upstream
    /// records of this one. Upstreams on this VM count as renewed at `now`. Messages addressed to
    /// the earlier incarnation are rejected.
    std::unique_ptr<fleet_membership> continue_with_incarnation(incarnation node_incarnation,
                                                                time_point now) const;

    peer_table& peers() { return this->table; }
    const peer_table& peers() const { return this->table; }
    const announcement_table& announcements() const { return this->upstreams; }
    std::uint64_t rejected_count(datagram_rejection refusal) const
    {
        return this->signer.rejected_count(refusal);
    }

private:
    /// Encodes and signs a message after it has added gossip and, to an acknowledgement, records of
    /// this node with a sequence above `synced_sequence`.
    datagram finalize_datagram(outgoing_message& outgoing, std::uint64_t synced_sequence,
                               time_point now);
    void apply_state_changes(const std::vector<state_change>& changes, time_point now);
    void apply_body(const peer_message& message, time_point now, membership_update& update);
    void queue_for_gossip(const upstream_record& record, time_point now);

    peer_table table;
    announcement_table upstreams;
    datagram_signer signer;
    std::vector<std::string> seeds;
    std::string secret;
    membership_settings settings;
    revision_number advertised_revision = 0;
};

} // namespace dragonflyroad
