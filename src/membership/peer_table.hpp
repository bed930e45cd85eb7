#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"
#include "membership/gossip_queue.hpp"
#include "membership/messages.hpp"
#include "membership/peer_entry.hpp"
#include "membership/pending_pings.hpp"
#include "membership/ping_schedule.hpp"
#include "membership/relayed_questions.hpp"
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

/// What the other controllers contribute to the own messages.
struct local_facts {
    revision_number revision = 0;
    /// When no newer revision existed in the store, as far as this node can prove.
    std::optional<time_point> store_proof;
    std::uint64_t seat_version = 0;
    std::optional<time_point> ledger_proof;
    /// The witnesses named in the own seat.
    std::vector<node_id> witnesses;
    /// Runs whose reclaim this node has consented to.
    std::set<incarnation> consented;
};

/// What an acknowledgement proves. Times are those at which the statement was certainly true: the
/// sending of the ping less the stated age, so a delayed message cannot appear fresh.
struct ack_evidence {
    node_id from;
    incarnation run = 0;
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
    peer_card peer;
    peer_state from = peer_state::alive;
    peer_state to = peer_state::alive;
};

struct tick_result {
    std::vector<outgoing_message> messages;
    std::vector<state_change> changes;
    /// The length of the own pause that was detected, or zero.
    duration paused{};
};

struct message_result {
    std::vector<outgoing_message> messages;
    std::optional<ack_evidence> evidence;
    /// The sender is known, its run is current and the message was addressed to this run.
    bool merge_body = false;
};

/// Known nodes of the fleet against those with which this node has two-way contact. In fleets too
/// large to ping every node within the alive window, `heard` is extrapolated from the sample of
/// recent pings.
struct contact {
    std::size_t known = 0;
    std::size_t heard = 0;
};

/// The other nodes of the fleet as this node sees them. It sends a bounded number of messages per
/// second whatever the size of the fleet.
class peer_table {
public:
    peer_table(peer_card self, std::vector<std::string> seed_addresses, peer_settings limits = {});

    /// Replaces the facts that the next messages state.
    void set_facts(local_facts facts);

    /// Sends the pings that are due and moves peers between states. Call it at next_tick() or
    /// shortly after; a call more than the pause gap late counts as a pause of this node.
    tick_result tick(time_point now, random_engine& random);
    /// When tick() has to be called next. Earlier after request_round().
    time_point next_tick() const { return this->rounds.next(); }

    /// Takes a verified message. Answers go to the address in the sender's card, which is signed,
    /// unlike the address that a datagram came from.
    message_result on_message(const peer_message& message, time_point now, random_engine& random);

    /// Brings the next round forward, for news that cannot wait. Additional rounds are limited to
    /// one for every two regular ones; two can be saved up.
    void request_round(time_point now) { this->rounds.request(now); }

    /// Takes the list of a peer over JSON-RPC. The cards are not spread: the fleet knows them.
    void adopt(const std::vector<peer_card>& cards, time_point now);
    /// Announces the own shutdown.
    void leave(time_point now);

    const std::map<node_id, peer_entry>& peers() const { return this->entries; }
    const peer_entry* find(const node_id& node) const;
    const peer_entry* find(incarnation run) const;
    const peer_card& self() const { return this->own; }
    /// The own card and those of all peers that are neither lost nor left.
    std::vector<peer_card> cards() const;
    contact contacts(time_point now) const;
    /// Nodes of the fleet, this one included, that are neither lost nor left. As of the last tick,
    /// and new ones.
    std::size_t fleet_size() const { return this->present; }
    /// A higher incarnation of the own name exists: this process must not continue under its own.
    bool is_superseded() const { return this->superseded; }

    gossip_queue& gossip() { return this->queue; }

private:
    /// An order that does not depend on addresses in memory, so that a seed replays a run.
    struct by_name {
        bool operator()(const peer_entry* left, const peer_entry* right) const
        {
            return left->card.node < right->card.node;
        }
    };

    void on_pause(time_point now);
    void count_misses(time_point now);
    void judge_unsettled(time_point now, std::vector<state_change>& changes);
    void change_state(peer_entry& peer, peer_state state, time_point now,
                      std::vector<state_change>& changes);
    void forget(time_point now);
    void send_round(time_point now, random_engine& random, std::vector<outgoing_message>& messages);
    void ping_next_seed(time_point now, std::vector<outgoing_message>& messages);
    outgoing_message make_ping(peer_entry& peer, time_point now);
    outgoing_message make_ack(const peer_entry& peer, std::uint64_t echo, time_point now);
    message_body make_body(const peer_entry& peer, time_point now) const;

    message_result on_ping(const peer_message& message, const ping& content, time_point now,
                           random_engine& random);
    message_result on_ack(const peer_message& message, const ack& content, time_point now);
    peer_entry* sender_of(const peer_message& message, time_point now);
    void note_received(peer_entry& peer, time_point now);
    void note_two_way(peer_entry& peer, time_point proved_at);
    void take_heard(const message_body& body, time_point proved_at);
    /// True when the card was newer than the known one.
    bool learn(const peer_card& card, time_point now);
    void learn_and_spread(const peer_card& card, time_point now);
    void take_news(const message_body& body, time_point now);
    void take_suspicion(const suspicion& doubt, time_point now);
    void answer_questions(const ping& content, const relayed_question& asked, ack& answer,
                          time_point now);
    void pass_answers(const peer_entry& about, time_point now,
                      std::vector<outgoing_message>& messages);
    void add_sample(message_body& body, random_engine& random) const;
    void replace_run(peer_entry& peer, const peer_card& card, time_point now);
    peer_entry* entry_of(incarnation run);
    duration refutation_time() const;

    peer_card own;
    std::vector<std::string> seeds;
    peer_settings limits;
    local_facts facts;
    std::map<node_id, peer_entry> entries;
    /// Entries of a std::map keep their place.
    std::unordered_map<incarnation, peer_entry*> by_run;
    gossip_queue queue;
    ping_schedule schedule;
    round_timer rounds;
    pending_pings pending;
    relayed_questions questions;
    /// Changes that happened between two ticks.
    std::vector<state_change> replaced;
    /// Runs by the time of their latest message, newest first; bounded.
    std::deque<incarnation> recently_heard;
    /// Peers by what the last tick found; the schedule takes its choice from them.
    ping_candidates candidates;
    /// Peers whose state can change without a message: all that are not alive, have unanswered
    /// pings or are suspected by others. Keeps the cost of a tick independent of the fleet's size.
    std::set<peer_entry*, by_name> unsettled;
    std::size_t present = 1;
    std::uint64_t next_nonce = 1;
    std::optional<time_point> last_tick;
    /// The latest two-way proof with any peer; without a recent one the seeds are pinged.
    std::optional<time_point> last_proof;
    std::size_t acks_left = 0;
    std::size_t next_seed = 0;
    bool superseded = false;
};

} // namespace dragonflyroad
