#include "claims/claim_table.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::milliseconds resend_interval{500};

std::uint64_t rendezvous_hash(const seat_key& holder, const claim_key& key)
{
    return stable_hash(holder.node.value,
                       key.high ^ (holder.node_incarnation * 0x9e3779b97f4a7c15U));
}

bool ranks_higher(const seat_key& left, const seat_key& right, const claim_key& key)
{
    return std::pair{rendezvous_hash(left, key), left} >
           std::pair{rendezvous_hash(right, key), right};
}

std::chrono::milliseconds to_remaining(time_point until, time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(until - now);
}

claim_verdict to_verdict(claim_state state)
{
    switch (state) {
    case claim_state::in_progress:
        return claim_verdict::in_progress;
    case claim_state::done:
        return claim_verdict::done;
    case claim_state::unknown:
        break;
    }
    return claim_verdict::unknown;
}

} // namespace

std::optional<seat_key> claim_owner(const ledger& seat_ledger, const claim_key& key)
{
    const seat* best = nullptr;
    for (const seat& entry : seat_ledger.seats) {
        if (best == nullptr || ranks_higher(entry.holder, best->holder, key)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->holder};
}

claim_table::claim_table(seat_key own_key, std::size_t max_claims, std::chrono::milliseconds window)
    : self(std::move(own_key)), capacity(max_claims), max_window(window)
{
}

claim_reply claim_table::claim(const claim_request& request, bool fence_open, time_point now)
{
    const std::uint64_t version = this->current_ledger.seat_version;
    if (request.seat_version != version ||
        claim_owner(this->current_ledger, request.key) != this->self) {
        return {claim_verdict::wrong_version, version};
    }
    if (!fence_open || this->stopping || !this->has_all_claims(request.key)) {
        return {claim_verdict::unavailable, version};
    }
    const auto found = this->claims.find(request.key);
    if (found != this->claims.end() && found->second.expires > now) {
        const bool is_resent = found->second.state == claim_state::in_progress &&
                               found->second.attempt == request.attempt;
        return {is_resent ? claim_verdict::granted : to_verdict(found->second.state), version};
    }
    if (this->may_be_lost(request.key, request.window, now)) {
        return {claim_verdict::unknown, version};
    }
    if (found == this->claims.end() && this->claims.size() >= this->capacity) {
        return {claim_verdict::unavailable, version};
    }
    this->claims[request.key] = {claim_state::in_progress, request.attempt, now + request.window};
    return {claim_verdict::granted, version};
}

claim_reply claim_table::complete(const claim_completion& message, bool fence_open, time_point now)
{
    const std::uint64_t version = this->current_ledger.seat_version;
    if (message.seat_version != version ||
        claim_owner(this->current_ledger, message.key) != this->self) {
        return {claim_verdict::wrong_version, version};
    }
    if (!fence_open || this->stopping || !this->has_all_claims(message.key)) {
        return {claim_verdict::unavailable, version};
    }
    const auto found = this->claims.find(message.key);
    const bool is_known = found != this->claims.end() && found->second.attempt == message.attempt;
    if (message.outcome == claim_outcome::not_run) {
        if (is_known) {
            this->claims.erase(found);
        }
        return {claim_verdict::granted, version};
    }
    // Recorded even when the claim is not known here: the owner that granted it may have been lost
    // in the meantime.
    if (is_known || found == this->claims.end()) {
        const claim_state state =
            message.outcome == claim_outcome::done ? claim_state::done : claim_state::unknown;
        this->claims[message.key] = {state, message.attempt, now + message.window};
    }
    return {claim_verdict::granted, version};
}

bool claim_table::has_all_claims(const claim_key& key) const
{
    // The key's owner at the seat version `complete_at`, and every seat that may have owned the key
    // between that version and the current one, must have handed over.
    const seat* first = nullptr;
    for (const seat& entry : this->current_ledger.seats) {
        if (entry.joined <= this->complete_at &&
            (first == nullptr || ranks_higher(entry.holder, first->holder, key))) {
            first = &entry;
        }
    }
    const auto has_handed_over = [&](const seat& entry) {
        const auto found = this->received.find(entry.holder);
        return entry.holder == this->self ||
               (found != this->received.end() && found->second >= this->complete_at);
    };
    if (first != nullptr && !has_handed_over(*first)) {
        return false;
    }
    return std::all_of(this->current_ledger.seats.begin(), this->current_ledger.seats.end(),
                       [&](const seat& entry) {
                           const bool between = entry.joined > this->complete_at &&
                                                entry.joined < this->current_ledger.seat_version;
                           const bool relevant =
                               between &&
                               (first == nullptr || ranks_higher(entry.holder, first->holder, key));
                           return !relevant || has_handed_over(entry);
                       });
}

bool claim_table::may_be_lost(const claim_key& key, std::chrono::milliseconds window,
                              time_point now) const
{
    return std::any_of(this->lost.begin(), this->lost.end(), [&](const lost_owner& owner) {
        if (now - owner.since >= window) {
            return false;
        }
        return owner.affects_all_keys ||
               std::all_of(this->current_ledger.seats.begin(), this->current_ledger.seats.end(),
                           [&](const seat& entry) {
                               return entry.joined > owner.claims_complete_at ||
                                      ranks_higher(owner.seat.holder, entry.holder, key);
                           });
    });
}

void claim_table::record_departures(const ledger& previous, time_point now)
{
    for (const departure& entry : this->current_ledger.departures) {
        if (!entry.handed_over && entry.departed > previous.seat_version) {
            this->lost.push_back(
                {entry, now, std::min(this->complete_at, entry.departed - 1), false});
        }
    }
    // A run that had no seat before learns of older losses from the hand-overs.
    const bool missed =
        previous.find(this->self) != nullptr &&
        this->current_ledger.departures.size() == kept_departures &&
        this->current_ledger.departures.front().departed > previous.seat_version + 1;
    if (missed) {
        this->lost.push_back({{}, now, 0, true});
    }
}

void claim_table::record_losses_before_join(const seat& own_seat, time_point now)
{
    const bool was_empty =
        std::all_of(this->current_ledger.seats.begin(), this->current_ledger.seats.end(),
                    [&](const seat& entry) { return entry.joined >= own_seat.joined; });
    for (const departure& entry : this->current_ledger.departures) {
        // No seat is left to report the losses of the earlier seats in a hand-over.
        if (was_empty && !entry.handed_over && entry.departed < own_seat.joined) {
            this->lost.push_back({entry, now, entry.departed - 1, false});
        }
    }
}

void claim_table::set_seats(const ledger& next, time_point now)
{
    if (next.seat_version <= this->current_ledger.seat_version) {
        return;
    }
    const ledger previous = std::exchange(this->current_ledger, next);
    const seat* const own = this->current_ledger.find(this->self);
    if (own == nullptr) {
        return;
    }
    if (previous.find(this->self) == nullptr) {
        // This run cannot have owned a key before it got its seat.
        this->complete_at = own->joined - 1;
        this->record_losses_before_join(*own, now);
    }
    this->record_departures(previous, now);
    this->received.clear();
    this->start_transfers();
    this->update_complete_at();
}

void claim_table::start_transfers()
{
    this->transfers.clear();
    for (const seat& entry : this->current_ledger.seats) {
        if (entry.holder != this->self) {
            this->transfers.emplace(entry.holder, transfer{});
        }
    }
}

void claim_table::update_complete_at()
{
    const bool complete = std::all_of(
        this->current_ledger.seats.begin(), this->current_ledger.seats.end(),
        [&](const seat& entry) {
            const auto found = this->received.find(entry.holder);
            return entry.holder == this->self ||
                   entry.joined == this->current_ledger.seat_version ||
                   (found != this->received.end() && found->second >= this->complete_at);
        });
    if (!complete || this->complete_at == this->current_ledger.seat_version) {
        return;
    }
    // If claims were missing in this node's previous hand-over, the receivers get another one.
    const bool was_behind = this->complete_at + 1 < this->current_ledger.seat_version;
    this->complete_at = this->current_ledger.seat_version;
    if (was_behind || this->stopping) {
        this->start_transfers();
    }
}

claim_hand_over claim_table::make_hand_over(time_point now) const
{
    claim_hand_over message;
    message.from = this->self;
    message.seat_version = this->current_ledger.seat_version;
    message.complete_at = this->complete_at;
    message.leaving = this->stopping;
    for (const lost_owner& owner : this->lost) {
        message.lost.push_back({owner.seat.holder, owner.seat.departed, owner.claims_complete_at,
                                owner.affects_all_keys,
                                std::chrono::floor<std::chrono::milliseconds>(now - owner.since)});
    }
    return message;
}

std::vector<addressed<claim_hand_over>> claim_table::due_hand_overs(time_point now)
{
    std::map<seat_key, claim_hand_over> due;
    for (auto& [receiver, state] : this->transfers) {
        if (!state.acknowledged && now - state.sent >= resend_interval) {
            state.sent = now;
            due.emplace(receiver, this->make_hand_over(now));
        }
    }
    if (due.empty() || this->current_ledger.find(this->self) == nullptr) {
        return {};
    }
    ledger next = this->current_ledger;
    if (this->stopping) {
        std::erase_if(next.seats, [&](const seat& entry) { return entry.holder == this->self; });
    }
    for (const auto& [key, state] : this->claims) {
        const auto owner = state.expires > now ? claim_owner(next, key) : std::nullopt;
        const auto found = owner ? due.find(*owner) : due.end();
        if (found != due.end()) {
            found->second.claims.push_back(
                {key, state.state, state.attempt, to_remaining(state.expires, now)});
        }
    }
    std::vector<addressed<claim_hand_over>> messages;
    messages.reserve(due.size());
    for (auto& [receiver, message] : due) {
        messages.push_back({receiver, std::move(message)});
    }
    return messages;
}

void claim_table::merge_record(const claim_record& record, time_point now)
{
    const auto found = this->claims.find(record.key);
    if (found != this->claims.end() && found->second.state != claim_state::in_progress) {
        return;
    }
    this->claims[record.key] = {record.state, record.attempt,
                                now + std::min(record.remaining, this->max_window)};
}

void claim_table::merge_lost_seat(const lost_seat& loss, time_point now)
{
    const time_point since = now - duration{loss.elapsed};
    const auto found =
        std::find_if(this->lost.begin(), this->lost.end(), [&](const lost_owner& owner) {
            return owner.seat.holder == loss.holder &&
                   owner.affects_all_keys == loss.affects_all_keys;
        });
    if (found == this->lost.end()) {
        this->lost.push_back({{loss.holder, 0, loss.departed, false},
                              since,
                              loss.claims_complete_at,
                              loss.affects_all_keys});
    }
    else {
        found->since =
            loss.affects_all_keys ? std::max(found->since, since) : std::min(found->since, since);
        found->claims_complete_at = std::min(found->claims_complete_at, loss.claims_complete_at);
    }
}

claim_hand_over_ack claim_table::accept_hand_over(const claim_hand_over& message, time_point now)
{
    claim_hand_over_ack ack{message.from, 0, message.complete_at, message.leaving};
    if (message.seat_version != this->current_ledger.seat_version ||
        this->current_ledger.find(message.from) == nullptr) {
        return ack;
    }
    for (const claim_record& record : message.claims) {
        this->merge_record(record, now);
    }
    for (const lost_seat& entry : message.lost) {
        this->merge_lost_seat(entry, now);
    }
    if (!message.has_more) {
        std::uint64_t& sender_complete_at = this->received[message.from];
        sender_complete_at = std::max(sender_complete_at, message.complete_at);
        this->update_complete_at();
    }
    ack.seat_version = message.seat_version;
    return ack;
}

void claim_table::record_hand_over_ack(const seat_key& receiver, const claim_hand_over_ack& ack)
{
    const auto found = this->transfers.find(receiver);
    if (found != this->transfers.end() && ack.from == this->self &&
        ack.seat_version == this->current_ledger.seat_version &&
        ack.complete_at == this->complete_at && ack.leaving == this->stopping) {
        found->second.acknowledged = true;
    }
}

void claim_table::stop()
{
    this->stopping = true;
    this->start_transfers();
}

bool claim_table::has_handed_over() const
{
    // With no other seat, remaining claims cannot be handed over and are lost when this seat
    // leaves.
    const bool has_receiver = !this->transfers.empty() || this->claims.empty();
    return this->stopping && has_receiver &&
           this->complete_at == this->current_ledger.seat_version &&
           std::all_of(this->transfers.begin(), this->transfers.end(),
                       [](const auto& entry) { return entry.second.acknowledged; });
}

void claim_table::extend_window(std::chrono::milliseconds window)
{
    this->max_window = std::max(this->max_window, window);
}

void claim_table::expire(time_point now)
{
    std::erase_if(this->claims, [&](const auto& entry) { return entry.second.expires <= now; });
    std::erase_if(this->lost,
                  [&](const lost_owner& owner) { return now - owner.since >= this->max_window; });
}

void claim_table::reset(const seat_key& next_key)
{
    this->self = next_key;
    this->current_ledger = {};
    this->complete_at = 0;
    this->stopping = false;
    this->claims.clear();
    this->received.clear();
    this->transfers.clear();
    this->lost.clear();
}

} // namespace dragonflyroad
