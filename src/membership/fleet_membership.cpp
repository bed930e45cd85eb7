#include "membership/fleet_membership.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

/// Maximum number of records of this node in one acknowledgement; they are records that the sender
/// of the ping lacks.
constexpr std::size_t max_synced_records = 6;

} // namespace

fleet_membership::fleet_membership(const peer_descriptor& self,
                                   std::vector<std::string> seed_addresses,
                                   std::string fleet_secret, membership_settings given)
    : table(self, seed_addresses, given.peers),
      upstreams(self.node_incarnation, given.announcements),
      signer(fleet_secret, self.node_incarnation),
      seeds(std::move(seed_addresses)),
      secret(std::move(fleet_secret)),
      settings(given)
{
}

membership_tick fleet_membership::tick(time_point now, random_engine& random)
{
    membership_tick result;
    for (const upstream_record& record : this->upstreams.expire(now)) {
        this->queue_for_gossip(record, now);
    }
    tick_result due = this->table.tick(now, random);
    this->apply_state_changes(due.changes, now);
    for (outgoing_message& message : due.messages) {
        result.datagrams.push_back(this->finalize_datagram(message, 0, now));
    }
    result.changes = std::move(due.changes);
    result.paused = due.paused;
    return result;
}

void fleet_membership::apply_state_changes(const std::vector<state_change>& changes, time_point now)
{
    for (const state_change& change : changes) {
        if (change.to == peer_state::lost || change.to == peer_state::left) {
            this->upstreams.on_node_lost(change.peer.node_incarnation, now);
        }
        else {
            this->upstreams.on_node_alive(change.peer.node_incarnation);
        }
    }
}

datagram fleet_membership::finalize_datagram(outgoing_message& outgoing,
                                             std::uint64_t synced_sequence, time_point now)
{
    peer_message& message = outgoing.message;
    if (auto* const content = std::get_if<ping>(&message.content)) {
        content->synced_sequence = this->upstreams.synced_sequence(message.destination_incarnation);
    }
    else if (synced_sequence < this->upstreams.last_own_sequence()) {
        ack& reply = std::get<ack>(message.content);
        reply.body.upstreams =
            this->upstreams.own_records_after(synced_sequence, max_synced_records);
        reply.synced_to = reply.body.upstreams.size() < max_synced_records
                              ? this->upstreams.last_own_sequence()
                              : reply.body.upstreams.back().sequence;
    }
    if (message.destination_incarnation != 0) {
        this->table.gossip().fill(message.body(), this->table.fleet_size(), now);
    }
    return {std::move(outgoing.address), this->signer.sign(message)};
}

membership_update fleet_membership::on_datagram(std::string_view bytes, time_point now,
                                                random_engine& random)
{
    membership_update update;
    const std::optional<peer_message> message = this->signer.verify_and_decode(bytes);
    if (!message) {
        return update;
    }
    update.accepted = true;
    message_result result = this->table.on_message(*message, now, random);
    update.evidence = std::move(result.evidence);
    if (result.merge_body) {
        this->apply_body(*message, now, update);
    }
    const auto* const received_ping = std::get_if<ping>(&message->content);
    for (outgoing_message& outgoing : result.messages) {
        const auto* const reply = std::get_if<ack>(&outgoing.message.content);
        const bool answers =
            received_ping != nullptr && reply != nullptr && reply->acked_nonce == message->nonce;
        const std::uint64_t synced_sequence =
            answers ? received_ping->synced_sequence : this->upstreams.last_own_sequence();
        update.datagrams.push_back(this->finalize_datagram(outgoing, synced_sequence, now));
    }
    return update;
}

void fleet_membership::apply_body(const peer_message& message, time_point now,
                                  membership_update& update)
{
    const message_body& body = message.body();
    update.from = message.sender;
    if (const peer_entry* const sender = this->table.find(message.sender)) {
        update.rpc_address = sender->node_descriptor.rpc_address;
    }
    update.revision = body.revision;
    update.seat_version = body.seat_version;
    for (const upstream_record& record : body.upstreams) {
        if (this->upstreams.merge(record, now) == merge_outcome::newer) {
            this->queue_for_gossip(record, now);
            update.upstreams.push_back(record);
        }
    }
    if (const auto* const reply = std::get_if<ack>(&message.content); reply != nullptr) {
        this->upstreams.record_synced_sequence(message.sender_incarnation, reply->synced_to);
    }
    for (const crash_report& crash : body.crashes) {
        if (this->table.gossip().push_if_new(crash, now)) {
            update.crashes.push_back(crash);
        }
    }
    for (const ejection_report& ejection : body.ejections) {
        if (this->table.gossip().push_if_new(ejection, now)) {
            update.ejections.push_back(ejection);
        }
    }
}

void fleet_membership::queue_for_gossip(const upstream_record& record, time_point now)
{
    this->table.gossip().push(record);
    if (record.state != announced_state::serving) {
        this->table.request_round(now);
    }
}

void fleet_membership::set_advertised_state(advertised_state facts, time_point now)
{
    const bool is_newer = facts.revision > this->advertised_revision;
    this->advertised_revision = facts.revision;
    this->table.set_advertised_state(std::move(facts));
    if (is_newer && this->settings.peers.urgent_revisions) {
        this->table.request_round(now);
    }
}

void fleet_membership::announce(const local_upstream_state& offer, time_point now)
{
    if (const auto record = this->upstreams.announce(offer, now)) {
        this->queue_for_gossip(*record, now);
    }
}

void fleet_membership::deregister_upstream(const upstream_id& upstream, time_point now)
{
    if (const auto record = this->upstreams.deregister(upstream, now)) {
        this->queue_for_gossip(*record, now);
    }
}

void fleet_membership::merge(const std::vector<upstream_record>& records, time_point now)
{
    for (const upstream_record& record : records) {
        this->upstreams.merge(record, now);
    }
}

void fleet_membership::record_failure(const upstream_id& upstream, time_point now)
{
    this->upstreams.record_failure(upstream, now);
}

void fleet_membership::report(const crash_report& crash, time_point now)
{
    this->table.gossip().push_if_new(crash, now);
}

void fleet_membership::report(const ejection_report& ejection, time_point now)
{
    this->table.gossip().push_if_new(ejection, now);
}

void fleet_membership::leave(time_point now)
{
    this->table.leave(now);
}

std::unique_ptr<fleet_membership>
fleet_membership::continue_with_incarnation(incarnation node_incarnation, time_point now) const
{
    peer_descriptor descriptor = this->table.self();
    const incarnation earlier = std::exchange(descriptor.node_incarnation, node_incarnation);
    descriptor.version = 1;
    auto next =
        std::make_unique<fleet_membership>(descriptor, this->seeds, this->secret, this->settings);
    next->table.merge_descriptors(this->table.descriptors(), now);
    const std::vector<upstream_record> records = this->upstreams.all_records();
    next->merge(records, now);
    for (const upstream_record& record : records) {
        if (record.node_incarnation == earlier && record.state != announced_state::unregistered) {
            next->announce({record.upstream, record.service, record.slots, record.state}, now);
        }
    }
    return next;
}

} // namespace dragonflyroad
