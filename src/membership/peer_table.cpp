#include "membership/peer_table.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum number of indirect probes requested in one ping.
constexpr std::size_t max_indirect_probes = 4;
/// Maximum number of peers, four times the target scale.
constexpr std::size_t max_peers = 8'400;

} // namespace

peer_table::peer_table(peer_descriptor self, std::vector<std::string> seed_addresses,
                       peer_settings settings)
    : own(std::move(self)),
      seeds(std::move(seed_addresses)),
      limits(settings),
      rounds(settings.ping_interval)
{
    std::erase(this->seeds, this->own.datagram_address);
    this->queue.push(this->own);
}

void peer_table::set_advertised_state(advertised_state value)
{
    this->facts = std::move(value);
}

tick_result peer_table::tick(time_point now, random_engine& random)
{
    tick_result result;
    if (this->last_tick && now - *this->last_tick > this->limits.pause_gap) {
        result.paused = now - *this->last_tick;
        this->handle_pause(now);
    }
    this->last_tick = now;
    this->remove_expired(now);
    this->count_missed_pings(now);
    result.changes = std::exchange(this->replacements, {});
    this->update_unsettled(now, result.changes);
    if (now >= this->rounds.next()) {
        this->send_round(now, random, result.messages);
        this->rounds.record_round(now);
    }
    return result;
}

void peer_table::handle_pause(time_point now)
{
    this->pending.resolve_all();
    for (auto& [node, peer] : this->entries) {
        peer.missed_pings = 0;
        if (peer.state == peer_state::suspect) {
            peer.since = now;
        }
    }
}

void peer_table::count_missed_pings(time_point now)
{
    for (const pending_ping& missed :
         this->pending.resolve_overdue(now - this->limits.ping_interval)) {
        const auto found = this->entries.find(missed.node);
        if (found == this->entries.end() || (found->second.last_two_way_proof &&
                                             *found->second.last_two_way_proof >= missed.sent_at)) {
            continue;
        }
        if (found->second.missed_pings++ == 0) {
            found->second.first_missed_at = missed.sent_at;
            this->unsettled.insert(&found->second);
        }
    }
    this->pending.remove_sent_before(now - this->limits.alive_window);
}

void peer_table::update_unsettled(time_point now, std::vector<state_change>& changes)
{
    const duration refutation = this->refutation_time();
    this->candidates = {};
    std::size_t out = 0;
    for (auto next = this->unsettled.begin(); next != this->unsettled.end();) {
        peer_entry& peer = **next;
        const peer_state state = evaluate_state(peer, now, this->limits, refutation);
        if (state != peer.state) {
            this->change_state(peer, state, now, changes);
        }
        const bool is_out = state == peer_state::lost || state == peer_state::left;
        out += is_out ? 1U : 0U;
        if (state == peer_state::lost) {
            this->candidates.lost.push_back(&peer);
        }
        else if (peer.missed_pings > 0 && !is_out) {
            this->candidates.with_missed_pings.push_back(&peer);
        }
        const bool is_settled =
            state == peer_state::alive && peer.missed_pings == 0 && !peer.suspicion_received;
        next = is_settled ? this->unsettled.erase(next) : std::next(next);
    }
    this->present_nodes = this->entries.size() + 1 - out;
}

void peer_table::change_state(peer_entry& peer, peer_state state, time_point now,
                              std::vector<state_change>& changes)
{
    changes.push_back({peer.node_descriptor, peer.state, state});
    peer.state = state;
    peer.since = now;
    if (state == peer_state::suspect && !peer.suspicion_received) {
        peer.suspected_version = peer.node_descriptor.version;
        this->queue.push(
            suspicion{peer.node_descriptor.node_incarnation, peer.node_descriptor.version});
    }
}

void peer_table::remove_expired(time_point now)
{
    for (auto next = this->unsettled.begin(); next != this->unsettled.end();) {
        const peer_entry& peer = **next;
        const bool is_out = peer.state == peer_state::lost || peer.state == peer_state::left;
        if (is_out && now - peer.since >= this->limits.remove_after) {
            next = this->unsettled.erase(next);
            this->by_incarnation.erase(peer.node_descriptor.node_incarnation);
            this->entries.erase(node_id{peer.node_descriptor.node});
        }
        else {
            ++next;
        }
    }
}

duration peer_table::refutation_time() const
{
    // Three times the number of rounds in which gossip reaches the whole fleet: once for the
    // suspicion, once for the refutation, and once more because some links may work in one
    // direction only.
    const auto doublings = std::bit_width(this->fleet_size());
    return 3 * doublings * this->limits.ping_interval;
}

void peer_table::send_round(time_point now, random_engine& random,
                            std::vector<outgoing_message>& messages)
{
    this->remaining_acks = this->limits.max_acks_per_interval;
    for (const node_id& node :
         this->schedule.next_round(this->entries, this->candidates, this->facts.witnesses,
                                   this->limits.pings_per_round, random)) {
        messages.push_back(this->make_ping(this->entries.at(node), now));
    }
    if (!this->last_contact_proof || *this->last_contact_proof < now - this->limits.alive_window) {
        this->ping_next_seed(now, messages);
    }
}

void peer_table::ping_next_seed(time_point now, std::vector<outgoing_message>& messages)
{
    if (this->seeds.empty()) {
        return;
    }
    peer_message message{this->own.node, this->own.node_incarnation, 0, this->next_nonce++, ping{}};
    message.body().descriptors.push_back(this->own);
    this->pending.add(message.nonce, node_id{}, now);
    messages.push_back({this->seeds[this->next_seed++ % this->seeds.size()], std::move(message)});
}

outgoing_message peer_table::make_ping(peer_entry& peer, time_point now)
{
    ping content{this->make_body(peer, now), {}, 0};
    if (!peer.last_two_way_proof || peer.missed_pings > 0) {
        content.body.descriptors.push_back(this->own);
    }
    for (const peer_entry* const unresponsive : this->candidates.with_missed_pings) {
        const bool is_answered =
            unresponsive->last_received_by_others &&
            *unresponsive->last_received_by_others > unresponsive->first_missed_at &&
            *unresponsive->last_received_by_others >= now - this->limits.indirect_window / 2;
        if (unresponsive != &peer && !is_answered &&
            content.indirect_probes.size() < max_indirect_probes) {
            content.indirect_probes.push_back(unresponsive->node_descriptor.node_incarnation);
        }
    }
    peer.last_pinged = now;
    peer_message message{this->own.node, this->own.node_incarnation,
                         peer.node_descriptor.node_incarnation, this->next_nonce++,
                         std::move(content)};
    this->pending.add(message.nonce, peer.node_descriptor.node, now);
    return {peer.node_descriptor.datagram_address, std::move(message)};
}

outgoing_message peer_table::make_ack(const peer_entry& peer, std::uint64_t acked_nonce,
                                      time_point now)
{
    ack content{this->make_body(peer, now), acked_nonce,
                !this->facts.consented.contains(peer.node_descriptor.node_incarnation), 0};
    if (!peer.last_two_way_proof) {
        content.body.descriptors.push_back(this->own);
    }
    return {peer.node_descriptor.datagram_address,
            peer_message{this->own.node, this->own.node_incarnation,
                         peer.node_descriptor.node_incarnation, this->next_nonce++,
                         std::move(content)}};
}

message_body peer_table::make_body(const peer_entry& peer, time_point now) const
{
    message_body body;
    body.revision = this->facts.revision;
    body.seat_version = this->facts.seat_version;
    if (this->facts.store_proof) {
        body.store_proof_age = now - *this->facts.store_proof;
    }
    if (this->facts.ledger_proof) {
        body.ledger_proof_age = now - *this->facts.ledger_proof;
    }
    if (peer.last_received) {
        body.last_received.push_back(
            {peer.node_descriptor.node_incarnation, now - *peer.last_received});
    }
    for (const incarnation node_incarnation : this->recently_received) {
        const peer_entry* const other = this->find(node_incarnation);
        if (other != nullptr && other != &peer && other->last_received &&
            body.last_received.size() < this->limits.max_last_received) {
            body.last_received.push_back({node_incarnation, now - *other->last_received});
        }
    }
    if (peer.suspected_version) {
        body.suspicions.push_back({peer.node_descriptor.node_incarnation, *peer.suspected_version});
    }
    return body;
}

bool peer_table::merge_descriptor(const peer_descriptor& descriptor, time_point now)
{
    if (descriptor.node == this->own.node) {
        this->superseded =
            this->superseded || descriptor.node_incarnation > this->own.node_incarnation;
        return false;
    }
    const auto found = this->entries.find(descriptor.node);
    if (found == this->entries.end()) {
        if (this->entries.size() >= max_peers) {
            return false;
        }
        peer_entry& peer = this->entries[descriptor.node];
        peer.node_descriptor = descriptor;
        peer.since = now;
        peer.last_received_by_others = now;
        this->by_incarnation[descriptor.node_incarnation] = &peer;
        this->unsettled.insert(&peer);
        ++this->present_nodes;
    }
    else {
        peer_entry& peer = found->second;
        if (std::tie(descriptor.node_incarnation, descriptor.version) <=
            std::tie(peer.node_descriptor.node_incarnation, peer.node_descriptor.version)) {
            return false;
        }
        this->replace_descriptor(peer, descriptor, now);
        this->unsettled.insert(&peer);
    }
    return true;
}

void peer_table::merge_and_gossip(const peer_descriptor& descriptor, time_point now)
{
    if (this->merge_descriptor(descriptor, now)) {
        this->queue.push(descriptor);
    }
}

void peer_table::merge_descriptors(const std::vector<peer_descriptor>& descriptors, time_point now)
{
    for (const peer_descriptor& descriptor : descriptors) {
        this->merge_descriptor(descriptor, now);
    }
}

void peer_table::replace_descriptor(peer_entry& peer, const peer_descriptor& descriptor,
                                    time_point now)
{
    this->queue.withdraw_suspicion(peer.node_descriptor.node_incarnation);
    if (descriptor.node_incarnation != peer.node_descriptor.node_incarnation) {
        this->replacements.push_back({peer.node_descriptor, peer.state, peer_state::lost});
        this->by_incarnation.erase(peer.node_descriptor.node_incarnation);
        this->by_incarnation[descriptor.node_incarnation] = &peer;
        peer = peer_entry{};
        peer.since = now;
    }
    peer.node_descriptor = descriptor;
    peer.last_received_by_others = now;
    peer.missed_pings = 0;
    peer.suspicion_received.reset();
    peer.suspected_version.reset();
}

void peer_table::leave(time_point now)
{
    this->own.leaving = true;
    ++this->own.version;
    this->queue.push(this->own);
    this->request_round(now);
}

const peer_entry* peer_table::find(const node_id& node) const
{
    const auto found = this->entries.find(node);
    return found == this->entries.end() ? nullptr : &found->second;
}

const peer_entry* peer_table::find(incarnation node_incarnation) const
{
    const auto found = this->by_incarnation.find(node_incarnation);
    return found == this->by_incarnation.end() ? nullptr : found->second;
}

peer_entry* peer_table::find_entry(incarnation node_incarnation)
{
    const auto found = this->by_incarnation.find(node_incarnation);
    return found == this->by_incarnation.end() ? nullptr : found->second;
}

std::vector<peer_descriptor> peer_table::descriptors() const
{
    std::vector<peer_descriptor> known{this->own};
    for (const auto& [node, peer] : this->entries) {
        if (peer.state != peer_state::lost && peer.state != peer_state::left) {
            known.push_back(peer.node_descriptor);
        }
    }
    return known;
}

} // namespace dragonflyroad
