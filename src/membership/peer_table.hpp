#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/messages.hpp"
#include "membership/peer_entry.hpp"
#include "membership/pending_indirect_probes.hpp"
#include "membership/pending_pings.hpp"
#include "membership/ping_schedule.hpp"
#include "membership/round_timer.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// State of this node's configuration and quota that its messages to peers carry, and the witnesses
/// that it pings.
struct advertised_state {
    revision_number revision = 0;
    /// Latest time at which this node can prove that the store held no newer revision.
    std::optional<time_point> store_proof;
    std::uint64_t seat_version = 0;
    std::optional<time_point> ledger_proof;
    /// Witnesses listed in the seat of this node.
    std::vector<node_id> witnesses;
    /// Incarnations to whose reclaim this node has consented.
    std::set<incarnation> consented;
};

/// Evidence from an acknowledgement. Times are those at which a statement was certainly true: the
/// sending time of the ping minus the stated age, so that a delayed message never looks fresh.
struct ack_evidence {
    node_id from;
    incarnation node_incarnation = 0;
    /// When the acknowledged ping was sent.
    time_point proved_at;
    std::optional<time_point> store_proof;
    std::optional<time_point> ledger_proof;
    bool witness_promise = false;
};

struct outgoing_message {
    std::string address;
    peer_message message;
};

struct state_change {
    peer_descriptor peer;
    peer_state from = peer_state::alive;
    peer_state to = peer_state::alive;
};

struct tick_result {
    std::vector<outgoing_message> messages;
    std::vector<state_change> changes;
    /// Length of a detected pause of this process, or zero.
    duration paused{};
};

struct message_result {
    std::vector<outgoing_message> messages;
    std::optional<ack_evidence> evidence;
    /// True if the sender is known, its incarnation is current and the message was addressed to
    /// this incarnation.
    bool merge_body = false;
};

/// Number of peers that have not left, including lost ones, and of those with recent two-way
/// contact. In a fleet too large to ping every node within the alive window, `reachable_peers` is
/// extrapolated from the recently pinged peers.
struct fleet_reachability {
    std::size_t known = 0;
    std::size_t reachable_peers = 0;
};

/// Failure detector and peer list of this node. The number of messages that it sends per second is
/// bounded, independently of the fleet size.
class peer_table {
public:
    peer_table(peer_descriptor self, std::vector<std::string> seed_addresses,
               peer_settings limits = {});

    /// Replaces the state advertised in later messages.
    void set_advertised_state(advertised_state facts);

    /// Sends due pings and updates peer states. Call it at next_tick() or shortly after; a delay
    /// longer than `pause_gap` counts as a pause of this process.
    tick_result tick(time_point now, random_engine& random);
    /// When tick() must be called next; request_round() may bring this forward.
    time_point next_tick() const { return this->rounds.next(); }

    /// Processes a verified message. Replies go to the address in the descriptor of the sender
    /// because, unlike the source address of a datagram, it is signed.
    message_result on_message(const peer_message& message, time_point now, random_engine& random);

    /// Brings the next ping round forward for urgent updates. Additional rounds are limited to one
    /// for every two regular rounds, with a burst of two.
    void request_round(time_point now) { this->rounds.request_extra_round(now); }

    /// Merges descriptors copied from a peer over JSON-RPC. They are not gossiped because the fleet
    /// knows them already.
    void merge_descriptors(const std::vector<peer_descriptor>& descriptors, time_point now);
    /// Marks this node's descriptor as leaving and gossips it.
    void leave(time_point now);

    const std::map<node_id, peer_entry>& peers() const { return this->entries; }
    const peer_entry* find(const node_id& node) const;
    const peer_entry* find(incarnation node_incarnation) const;
    const peer_descriptor& self() const { return this->own; }
    /// Descriptors of this node and of all peers that are neither lost nor left.
    std::vector<peer_descriptor> descriptors() const;
    fleet_reachability measure_reachability(time_point now) const;
    /// Number of nodes, this one included, that are neither lost nor left, as of the last tick plus
    /// nodes added since.
    std::size_t fleet_size() const { return this->present_nodes; }
    /// Whether a higher incarnation exists under the name of this node. If so, this process must
    /// not continue under its own incarnation.
    bool is_superseded() const { return this->superseded; }

    gossip_queue& gossip() { return this->queue; }

private:
    /// Orders peers by name instead of memory address, so that a run with the same seed is
    /// reproducible.
    struct by_name {
        bool operator()(const peer_entry* left, const peer_entry* right) const
        {
            return left->node_descriptor.node < right->node_descriptor.node;
        }
    };

    void handle_pause(time_point now);
    void count_missed_pings(time_point now);
    void update_unsettled(time_point now, std::vector<state_change>& changes);
    void change_state(peer_entry& peer, peer_state state, time_point now,
                      std::vector<state_change>& changes);
    void remove_expired(time_point now);
    void send_round(time_point now, random_engine& random, std::vector<outgoing_message>& messages);
    void ping_next_seed(time_point now, std::vector<outgoing_message>& messages);
    outgoing_message make_ping(peer_entry& peer, time_point now);
    outgoing_message make_ack(const peer_entry& peer, std::uint64_t acked_nonce, time_point now);
    message_body make_body(const peer_entry& peer, time_point now) const;

    message_result on_ping(const peer_message& message, const ping& content, time_point now,
                           random_engine& random);
    message_result on_ack(const peer_message& message, const ack& content, time_point now);
    peer_entry* resolve_sender(const peer_message& message, time_point now);
    void record_received(peer_entry& peer, time_point now);
    void record_two_way_proof(peer_entry& peer, time_point proved_at);
    void merge_last_received(const message_body& body, time_point proved_at);
    /// Returns true if the descriptor is new or newer than the known one.
    bool merge_descriptor(const peer_descriptor& descriptor, time_point now);
    void merge_and_gossip(const peer_descriptor& descriptor, time_point now);
    void merge_gossip(const message_body& body, time_point now);
    void merge_suspicion(const suspicion& suspected, time_point now);
    void answer_indirect_probes(const ping& content, const indirect_probe& probe_template,
                                ack& reply, time_point now);
    void relay_probe_results(const peer_entry& target, time_point now,
                             std::vector<outgoing_message>& messages);
    void add_descriptor_sample(message_body& body, random_engine& random) const;
    void replace_descriptor(peer_entry& peer, const peer_descriptor& descriptor, time_point now);
    peer_entry* find_entry(incarnation node_incarnation);
    duration refutation_time() const;

    peer_descriptor own;
    std::vector<std::string> seeds;
    peer_settings limits;
    advertised_state facts;
    std::map<node_id, peer_entry> entries;
    /// Points into `entries`; std::map nodes have stable addresses.
    std::unordered_map<incarnation, peer_entry*> by_incarnation;
    gossip_queue queue;
    ping_schedule schedule;
    round_timer rounds;
    pending_pings pending;
    pending_indirect_probes pending_probes;
    /// Replacements of an incarnation since the last tick; the next tick reports them as state
    /// changes.
    std::vector<state_change> replacements;
    /// Incarnations by the time of their latest message, newest first; bounded.
    std::deque<incarnation> recently_received;
    /// Lost peers and peers with unacknowledged pings as of the last tick; input of the ping
    /// schedule.
    ping_candidates candidates;
    /// Peers whose state can change without a message: all that are not alive, have unacknowledged
    /// pings or are suspected by other nodes. Keeps the cost of a tick independent of the fleet
    /// size.
    std::set<peer_entry*, by_name> unsettled;
    std::size_t present_nodes = 1;
    std::uint64_t next_nonce = 1;
    std::optional<time_point> last_tick;
    /// Latest two-way proof with any peer. Without a recent one, the seeds are pinged.
    std::optional<time_point> last_contact_proof;
    std::size_t remaining_acks = 0;
    std::size_t next_seed = 0;
    bool superseded = false;
};

} // namespace dragonflyroad
