// The part of peer_table that takes messages; peer_table.cpp sends them and judges peers.
#include "membership/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// Runs kept for the heard list; more than one message holds.
constexpr std::size_t max_recently_heard = 64;
/// Cards sent to a node that pings a seed: it joins, or has lost contact with all others.
constexpr std::size_t sample_size = 6;
/// How long the answer to a relayed question can still help the asker.
constexpr duration question_lifetime = std::chrono::seconds{3};

} // namespace

message_result peer_table::on_message(const peer_message& message, time_point now,
                                      random_engine& random)
{
    if (const auto* const content = std::get_if<ping>(&message.content)) {
        return this->on_ping(message, *content, now, random);
    }
    return this->on_ack(message, std::get<ack>(message.content), now);
}

peer_entry* peer_table::sender_of(const peer_message& message, time_point now)
{
    const bool is_ping = std::holds_alternative<ping>(message.content);
    for (const peer_card& card : message.body().cards) {
        if (card.node == message.sender && card.run == message.sender_run) {
            // A node that pings may just have joined; one that answers is known to the fleet.
            is_ping ? this->learn_and_spread(card, now) : static_cast<void>(this->learn(card, now));
        }
    }
    peer_entry* const sender = this->entry_of(message.sender_run);
    return sender != nullptr && sender->card.node == message.sender ? sender : nullptr;
}

void peer_table::note_received(peer_entry& peer, time_point now)
{
    peer.received = now;
    peer.reported.reset();
    std::erase(this->recently_heard, peer.card.run);
    this->recently_heard.push_front(peer.card.run);
    if (this->recently_heard.size() > max_recently_heard) {
        this->recently_heard.pop_back();
    }
}

void peer_table::note_two_way(peer_entry& peer, time_point proved_at)
{
    if (!peer.two_way || *peer.two_way < proved_at) {
        peer.two_way = proved_at;
    }
    this->last_proof = std::max(this->last_proof.value_or(proved_at), proved_at);
    if (proved_at >= peer.first_miss) {
        peer.misses = 0;
    }
}

message_result peer_table::on_ping(const peer_message& message, const ping& content, time_point now,
                                   random_engine& random)
{
    message_result result;
    peer_entry* const sender = this->sender_of(message, now);
    if (sender == nullptr) {
        // Without an acknowledgement the sender adds its card to the next ping.
        return result;
    }
    this->note_received(*sender, now);
    if (message.destination_run == this->own.run) {
        result.merge_body = true;
        for (const heard_entry& heard : content.body.heard) {
            if (heard.run == this->own.run && heard.age <= this->limits.alive_window) {
                note_two_way(*sender, now - heard.age);
            }
        }
        this->take_news(content.body, now);
    }
    if (this->acks_left == 0) {
        return result;
    }
    --this->acks_left;
    outgoing_message answer = this->make_ack(*sender, message.nonce, now);
    ack& reply = std::get<ack>(answer.message.content);
    if (message.destination_run == 0) {
        this->add_sample(reply.body, random);
    }
    this->answer_questions(content, {message.sender, message.nonce, 0, now + question_lifetime},
                           reply, now);
    result.messages.push_back(std::move(answer));
    return result;
}

message_result peer_table::on_ack(const peer_message& message, const ack& content, time_point now)
{
    message_result result;
    const std::optional<pending_ping> acknowledged = this->pending.acknowledge(content.echo);
    if (!acknowledged) {
        return result;
    }
    peer_entry* const sender = this->sender_of(message, now);
    if (sender == nullptr ||
        (!acknowledged->node.empty() && acknowledged->node != message.sender)) {
        return result;
    }
    result.merge_body = true;
    this->note_received(*sender, now);
    this->take_heard(content.body, acknowledged->sent_at);
    if (acknowledged->node.empty()) {
        // A seed's acknowledgement holds a sample of the fleet, which need not be spread again.
        this->adopt(content.body.cards, now);
    }
    this->take_news(content.body, now);
    note_two_way(*sender, acknowledged->sent_at);
    ack_evidence evidence{message.sender,         message.sender_run, acknowledged->sent_at, {}, {},
                          content.witness_promise};
    if (content.body.store_proof_age) {
        evidence.store_proof = acknowledged->sent_at - *content.body.store_proof_age;
    }
    if (content.body.ledger_proof_age) {
        evidence.ledger_proof = acknowledged->sent_at - *content.body.ledger_proof_age;
    }
    result.evidence = std::move(evidence);
    this->pass_answers(*sender, now, result.messages);
    return result;
}

void peer_table::take_heard(const message_body& body, time_point proved_at)
{
    for (const heard_entry& heard : body.heard) {
        peer_entry* const peer = this->entry_of(heard.run);
        if (peer == nullptr) {
            continue;
        }
        const time_point heard_at = proved_at - heard.age;
        if (!peer->indirect || *peer->indirect < heard_at) {
            peer->indirect = heard_at;
        }
        if (peer->reported && heard_at > *peer->reported) {
            peer->reported.reset();
        }
    }
}

void peer_table::take_news(const message_body& body, time_point now)
{
    for (const peer_card& card : body.cards) {
        this->learn_and_spread(card, now);
    }
    for (const suspicion& doubt : body.suspicions) {
        this->take_suspicion(doubt, now);
    }
}

void peer_table::take_suspicion(const suspicion& doubt, time_point now)
{
    if (doubt.run == this->own.run) {
        if (doubt.version >= this->own.version) {
            this->own.version = doubt.version + 1;
            this->queue.push(this->own);
            this->request_round(now);
        }
        return;
    }
    peer_entry* const peer = this->entry_of(doubt.run);
    if (peer == nullptr || doubt.version < peer->card.version ||
        peer->suspected_version == doubt.version) {
        return;
    }
    peer->suspected_version = doubt.version;
    const time_point recent = now - this->limits.alive_window;
    if (peer->heard_since(recent) || (peer->two_way && *peer->two_way >= recent)) {
        // This node hears the peer: it tells the peer, which refutes with a new card.
        this->schedule.request(peer->card.node);
        return;
    }
    peer->reported = now;
    this->unsettled.insert(peer);
    this->queue.push(doubt);
}

void peer_table::answer_questions(const ping& content, const relayed_question& asked, ack& answer,
                                  time_point now)
{
    for (const incarnation run : content.questions) {
        const peer_entry* const about = this->find(run);
        if (about == nullptr) {
            continue;
        }
        if (about->received && *about->received >= now - this->limits.alive_window) {
            answer.body.heard.insert(answer.body.heard.begin(), {run, now - *about->received});
            continue;
        }
        relayed_question question = asked;
        question.about = run;
        this->questions.add(std::move(question));
        this->schedule.request(about->card.node);
    }
}

void peer_table::pass_answers(const peer_entry& about, time_point now,
                              std::vector<outgoing_message>& messages)
{
    for (const relayed_question& question : this->questions.take(about.card.run, now)) {
        const auto asker = this->entries.find(question.asker);
        if (asker != this->entries.end()) {
            // `about` was heard just now, so it leads the heard list after the asker itself.
            messages.push_back(this->make_ack(asker->second, question.echo, now));
        }
    }
}

void peer_table::add_sample(message_body& body, random_engine& random) const
{
    if (this->entries.empty()) {
        return;
    }
    for (std::size_t drawn = 0; drawn < sample_size; ++drawn) {
        const auto offset = uniform_index(random, this->entries.size());
        const auto chosen = std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(offset));
        const peer_state state = chosen->second.state;
        if (state != peer_state::lost && state != peer_state::left) {
            body.cards.push_back(chosen->second.card);
        }
    }
}

contact peer_table::contacts(time_point now) const
{
    const time_point recent = now - this->limits.alive_window;
    const time_point answered = now - this->limits.ping_interval;
    contact all;
    std::size_t alive = 0;
    std::size_t sampled = 0;
    std::size_t acknowledged = 0;
    for (const auto& [node, peer] : this->entries) {
        if (peer.state == peer_state::left) {
            continue;
        }
        ++all.known;
        alive += peer.state == peer_state::alive ? 1U : 0U;
        all.heard += peer.two_way && *peer.two_way >= recent ? 1U : 0U;
        if (peer.last_pinged && *peer.last_pinged >= recent && *peer.last_pinged <= answered) {
            ++sampled;
            acknowledged += peer.two_way && *peer.two_way >= *peer.last_pinged ? 1U : 0U;
        }
    }
    const auto rounds_in_window =
        static_cast<std::size_t>(this->limits.alive_window / this->limits.ping_interval);
    if (all.known > rounds_in_window && sampled > 0) {
        all.heard = std::max(all.heard, std::min(alive, all.known * acknowledged / sampled));
    }
    return all;
}

} // namespace dragonflyroad
