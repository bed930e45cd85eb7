// Message processing of peer_table; peer_table.cpp sends messages and updates peer states.
#include "membership/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum number of recently received incarnations kept; more than fit into one message.
constexpr std::size_t max_recently_received = 64;
/// Number of descriptors drawn for a node that pings a seed: it is joining, or has lost contact
/// with all others.
constexpr std::size_t descriptor_sample_size = 6;
/// How long the result of an indirect probe is still useful to the requester.
constexpr duration indirect_probe_timeout = std::chrono::seconds{3};

} // namespace

message_result peer_table::on_message(const peer_message& message, time_point now,
                                      random_engine& random)
{
    if (const auto* const content = std::get_if<ping>(&message.content)) {
        return this->on_ping(message, *content, now, random);
    }
    return this->on_ack(message, std::get<ack>(message.content), now);
}

peer_entry* peer_table::resolve_sender(const peer_message& message, time_point now)
{
    const bool is_ping = std::holds_alternative<ping>(message.content);
    for (const peer_descriptor& descriptor : message.body().descriptors) {
        if (descriptor.node == message.sender &&
            descriptor.node_incarnation == message.sender_incarnation) {
            // A node that pings may just have joined, so its descriptor is gossiped; a node that
            // acknowledges is known to the fleet.
            is_ping ? this->merge_and_gossip(descriptor, now)
                    : static_cast<void>(this->merge_descriptor(descriptor, now));
        }
    }
    peer_entry* const sender = this->find_entry(message.sender_incarnation);
    return sender != nullptr && sender->node_descriptor.node == message.sender ? sender : nullptr;
}

void peer_table::record_received(peer_entry& peer, time_point now)
{
    peer.last_received = now;
    peer.suspicion_received.reset();
    std::erase(this->recently_received, peer.node_descriptor.node_incarnation);
    this->recently_received.push_front(peer.node_descriptor.node_incarnation);
    if (this->recently_received.size() > max_recently_received) {
        this->recently_received.pop_back();
    }
}

void peer_table::record_two_way_proof(peer_entry& peer, time_point proved_at)
{
    if (!peer.last_two_way_proof || *peer.last_two_way_proof < proved_at) {
        peer.last_two_way_proof = proved_at;
    }
    this->last_contact_proof = std::max(this->last_contact_proof.value_or(proved_at), proved_at);
    if (proved_at >= peer.first_missed_at) {
        peer.missed_pings = 0;
    }
}

message_result peer_table::on_ping(const peer_message& message, const ping& content, time_point now,
                                   random_engine& random)
{
    message_result result;
    peer_entry* const sender = this->resolve_sender(message, now);
    if (sender == nullptr) {
        // The ping is not acknowledged, so the sender adds its descriptor to the next one.
        return result;
    }
    this->record_received(*sender, now);
    if (message.destination_incarnation == this->own.node_incarnation) {
        result.merge_body = true;
        for (const last_received_entry& entry : content.body.last_received) {
            if (entry.node_incarnation == this->own.node_incarnation &&
                entry.age <= this->limits.alive_window) {
                record_two_way_proof(*sender, now - entry.age);
            }
        }
        this->merge_gossip(content.body, now);
    }
    if (this->remaining_acks == 0) {
        return result;
    }
    --this->remaining_acks;
    outgoing_message reply_message = this->make_ack(*sender, message.nonce, now);
    ack& reply = std::get<ack>(reply_message.message.content);
    if (message.destination_incarnation == 0) {
        this->add_descriptor_sample(reply.body, random);
    }
    this->answer_indirect_probes(
        content, {message.sender, message.nonce, 0, now + indirect_probe_timeout}, reply, now);
    result.messages.push_back(std::move(reply_message));
    return result;
}

message_result peer_table::on_ack(const peer_message& message, const ack& content, time_point now)
{
    message_result result;
    const std::optional<pending_ping> acknowledged = this->pending.acknowledge(content.acked_nonce);
    if (!acknowledged) {
        return result;
    }
    peer_entry* const sender = this->resolve_sender(message, now);
    if (sender == nullptr ||
        (!acknowledged->node.empty() && acknowledged->node != message.sender)) {
        return result;
    }
    result.merge_body = true;
    this->record_received(*sender, now);
    this->merge_last_received(content.body, acknowledged->sent_at);
    if (acknowledged->node.empty()) {
        // The acknowledgement of a seed holds a sample of the fleet, which need not be gossiped.
        this->merge_descriptors(content.body.descriptors, now);
    }
    this->merge_gossip(content.body, now);
    record_two_way_proof(*sender, acknowledged->sent_at);
    ack_evidence evidence{
        message.sender,         message.sender_incarnation, acknowledged->sent_at, {}, {},
        content.witness_promise};
    if (content.body.store_proof_age) {
        evidence.store_proof = acknowledged->sent_at - *content.body.store_proof_age;
    }
    if (content.body.ledger_proof_age) {
        evidence.ledger_proof = acknowledged->sent_at - *content.body.ledger_proof_age;
    }
    result.evidence = std::move(evidence);
    this->relay_probe_results(*sender, now, result.messages);
    return result;
}

void peer_table::merge_last_received(const message_body& body, time_point proved_at)
{
    for (const last_received_entry& entry : body.last_received) {
        peer_entry* const peer = this->find_entry(entry.node_incarnation);
        if (peer == nullptr) {
            continue;
        }
        const time_point received_at = proved_at - entry.age;
        if (!peer->last_received_by_others || *peer->last_received_by_others < received_at) {
            peer->last_received_by_others = received_at;
        }
        if (peer->suspicion_received && received_at > *peer->suspicion_received) {
            peer->suspicion_received.reset();
        }
    }
}

void peer_table::merge_gossip(const message_body& body, time_point now)
{
    for (const peer_descriptor& descriptor : body.descriptors) {
        this->merge_and_gossip(descriptor, now);
    }
    for (const suspicion& suspected : body.suspicions) {
        this->merge_suspicion(suspected, now);
    }
}

void peer_table::merge_suspicion(const suspicion& suspected, time_point now)
{
    if (suspected.node_incarnation == this->own.node_incarnation) {
        if (suspected.version >= this->own.version) {
            this->own.version = suspected.version + 1;
            this->queue.push(this->own);
            this->request_round(now);
        }
        return;
    }
    peer_entry* const peer = this->find_entry(suspected.node_incarnation);
    if (peer == nullptr || suspected.version < peer->node_descriptor.version ||
        peer->suspected_version == suspected.version) {
        return;
    }
    peer->suspected_version = suspected.version;
    const time_point recent = now - this->limits.alive_window;
    if (peer->received_since(recent) ||
        (peer->last_two_way_proof && *peer->last_two_way_proof >= recent)) {
        // This node has recent contact with the peer and tells it of the suspicion in a ping, so
        // that the peer refutes it with a new descriptor.
        this->schedule.request_ping(peer->node_descriptor.node);
        return;
    }
    peer->suspicion_received = now;
    this->unsettled.insert(peer);
    this->queue.push(suspected);
}

void peer_table::answer_indirect_probes(const ping& content, const indirect_probe& probe_template,
                                        ack& reply, time_point now)
{
    for (const incarnation node_incarnation : content.indirect_probes) {
        const peer_entry* const target = this->find(node_incarnation);
        if (target == nullptr) {
            continue;
        }
        if (target->last_received && *target->last_received >= now - this->limits.alive_window) {
            reply.body.last_received.insert(reply.body.last_received.begin(),
                                            {node_incarnation, now - *target->last_received});
            continue;
        }
        indirect_probe probe = probe_template;
        probe.target = node_incarnation;
        this->pending_probes.add(std::move(probe));
        this->schedule.request_ping(target->node_descriptor.node);
    }
}

void peer_table::relay_probe_results(const peer_entry& target, time_point now,
                                     std::vector<outgoing_message>& messages)
{
    for (const indirect_probe& probe :
         this->pending_probes.take_for(target.node_descriptor.node_incarnation, now)) {
        const auto requester = this->entries.find(probe.requester);
        if (requester != this->entries.end()) {
            // `target` has just sent a message, so it comes first in the last-received list after
            // the requester itself.
            messages.push_back(this->make_ack(requester->second, probe.acked_nonce, now));
        }
    }
}

void peer_table::add_descriptor_sample(message_body& body, random_engine& random) const
{
    if (this->entries.empty()) {
        return;
    }
    for (std::size_t drawn = 0; drawn < descriptor_sample_size; ++drawn) {
        const auto offset = uniform_index(random, this->entries.size());
        const auto chosen = std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(offset));
        const peer_state state = chosen->second.state;
        if (state != peer_state::lost && state != peer_state::left) {
            body.descriptors.push_back(chosen->second.node_descriptor);
        }
    }
}

fleet_reachability peer_table::measure_reachability(time_point now) const
{
    const time_point recent = now - this->limits.alive_window;
    const time_point sent_before = now - this->limits.ping_interval;
    fleet_reachability all;
    std::size_t alive = 0;
    std::size_t sampled = 0;
    std::size_t acknowledged = 0;
    for (const auto& [node, peer] : this->entries) {
        if (peer.state == peer_state::left) {
            continue;
        }
        ++all.known;
        alive += peer.state == peer_state::alive ? 1U : 0U;
        all.reachable_peers +=
            peer.last_two_way_proof && *peer.last_two_way_proof >= recent ? 1U : 0U;
        if (peer.last_pinged && *peer.last_pinged >= recent && *peer.last_pinged <= sent_before) {
            ++sampled;
            acknowledged +=
                peer.last_two_way_proof && *peer.last_two_way_proof >= *peer.last_pinged ? 1U : 0U;
        }
    }
    const auto rounds_in_window =
        static_cast<std::size_t>(this->limits.alive_window / this->limits.ping_interval);
    if (all.known > rounds_in_window && sampled > 0) {
        all.reachable_peers =
            std::max(all.reachable_peers, std::min(alive, all.known * acknowledged / sampled));
    }
    return all;
}

} // namespace dragonflyroad
