#include "claims/claim_table.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::milliseconds resend_interval{500};

std::uint64_t score(const seat_key& holder, const claim_key& key)
{
    return stable_hash(holder.node.value, key.high ^ (holder.run * 0x9e3779b97f4a7c15U));
}

bool beats(const seat_key& left, const seat_key& right, const claim_key& key)
{
    return std::pair{score(left, key), left} > std::pair{score(right, key), right};
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

std::optional<seat_key> claim_owner(const ledger& book, const claim_key& key)
{
    const seat* best = nullptr;
    for (const seat& entry : book.seats) {
        if (best == nullptr || beats(entry.holder, best->holder, key)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->holder};
}

claim_table::claim_table(seat_key own_key, std::size_t most_claims,
                         std::chrono::milliseconds window)
    : self(std::move(own_key)), capacity(most_claims), longest_window(window)
{
}

claim_reply claim_table::claim(const claim_request& request, bool fence_open, time_point now)
{
    const std::uint64_t version = this->book.seat_version;
    if (request.seat_version != version || claim_owner(this->book, request.key) != this->self) {
        return {claim_verdict::wrong_version, version};
    }
    if (!fence_open || this->stopping || !this->is_ready(request.key)) {
        return {claim_verdict::unavailable, version};
    }
    const auto place = this->claims.find(request.key);
    if (place != this->claims.end() && place->second.expires > now) {
        const bool repeated = place->second.state == claim_state::in_progress &&
                              place->second.attempt == request.attempt;
        return {repeated ? claim_verdict::granted : to_verdict(place->second.state), version};
    }
    if (this->is_lost(request.key, request.window, now)) {
        return {claim_verdict::unknown, version};
    }
    if (place == this->claims.end() && this->claims.size() >= this->capacity) {
        return {claim_verdict::unavailable, version};
    }
    this->claims[request.key] = {claim_state::in_progress, request.attempt, now + request.window};
    return {claim_verdict::granted, version};
}

claim_reply claim_table::complete(const claim_completion& message, bool fence_open, time_point now)
{
    const std::uint64_t version = this->book.seat_version;
    if (message.seat_version != version || claim_owner(this->book, message.key) != this->self) {
        return {claim_verdict::wrong_version, version};
    }
    if (!fence_open || this->stopping || !this->is_ready(message.key)) {
        return {claim_verdict::unavailable, version};
    }
    const auto place = this->claims.find(message.key);
    const bool is_known = place != this->claims.end() && place->second.attempt == message.attempt;
    if (message.outcome == claim_outcome::not_run) {
        if (is_known) {
            this->claims.erase(place);
        }
        return {claim_verdict::granted, version};
    }
    // Recorded even when the claim is not known here: its owner may have been lost meanwhile.
    if (is_known || place == this->claims.end()) {
        const claim_state state =
            message.outcome == claim_outcome::done ? claim_state::done : claim_state::unknown;
        this->claims[message.key] = {state, message.attempt, now + message.window};
    }
    return {claim_verdict::granted, version};
}

bool claim_table::is_ready(const claim_key& key) const
{
    // The owner at the version that this node is complete at, and every seat that may have owned
    // the key between that version and the current one.
    const seat* first = nullptr;
    for (const seat& entry : this->book.seats) {
        if (entry.joined <= this->complete_at &&
            (first == nullptr || beats(entry.holder, first->holder, key))) {
            first = &entry;
        }
    }
    const auto has_handed_over = [&](const seat& entry) {
        const auto place = this->received.find(entry.holder);
        return entry.holder == this->self ||
               (place != this->received.end() && place->second >= this->complete_at);
    };
    if (first != nullptr && !has_handed_over(*first)) {
        return false;
    }
    return std::all_of(this->book.seats.begin(), this->book.seats.end(), [&](const seat& entry) {
        const bool between =
            entry.joined > this->complete_at && entry.joined < this->book.seat_version;
        const bool relevant =
            between && (first == nullptr || beats(entry.holder, first->holder, key));
        return !relevant || has_handed_over(entry);
    });
}

bool claim_table::is_lost(const claim_key& key, std::chrono::milliseconds window,
                          time_point now) const
{
    return std::any_of(this->lost.begin(), this->lost.end(), [&](const lost_owner& owner) {
        if (now - owner.since >= window) {
            return false;
        }
        return owner.everything ||
               std::all_of(this->book.seats.begin(), this->book.seats.end(),
                           [&](const seat& entry) {
                               return entry.joined > owner.base ||
                                      beats(owner.seat.holder, entry.holder, key);
                           });
    });
}

void claim_table::note_departures(const ledger& previous, time_point now)
{
    for (const departure& entry : this->book.departures) {
        if (!entry.handed_over && entry.departed > previous.seat_version) {
            this->lost.push_back(
                {entry, now, std::min(this->complete_at, entry.departed - 1), false});
        }
    }
    // A run that was not seated before learns of older losses from the hand-overs.
    const bool missed = previous.find(this->self) != nullptr &&
                        this->book.departures.size() == kept_departures &&
                        this->book.departures.front().departed > previous.seat_version + 1;
    if (missed) {
        this->lost.push_back({{}, now, 0, true});
    }
}

void claim_table::note_empty_fleet(const seat& own_seat, time_point now)
{
    const bool was_empty =
        std::all_of(this->book.seats.begin(), this->book.seats.end(),
                    [&](const seat& entry) { return entry.joined >= own_seat.joined; });
    for (const departure& entry : this->book.departures) {
        // Nobody hands the losses of the earlier seats over.
        if (was_empty && !entry.handed_over && entry.departed < own_seat.joined) {
            this->lost.push_back({entry, now, entry.departed - 1, false});
        }
    }
}

void claim_table::set_seats(const ledger& next, time_point now)
{
    if (next.seat_version <= this->book.seat_version) {
        return;
    }
    const ledger previous = std::exchange(this->book, next);
    const seat* const own = this->book.find(this->self);
    if (own == nullptr) {
        return;
    }
    if (previous.find(this->self) == nullptr) {
        // This run cannot have owned a key before it was seated.
        this->complete_at = own->joined - 1;
        this->note_empty_fleet(*own, now);
    }
    this->note_departures(previous, now);
    this->received.clear();
    this->start_transfers();
    this->finish_if_complete();
}

void claim_table::start_transfers()
{
    this->transfers.clear();
    for (const seat& entry : this->book.seats) {
        if (entry.holder != this->self) {
            this->transfers.emplace(entry.holder, transfer{});
        }
    }
}

void claim_table::finish_if_complete()
{
    const bool complete =
        std::all_of(this->book.seats.begin(), this->book.seats.end(), [&](const seat& entry) {
            const auto place = this->received.find(entry.holder);
            return entry.holder == this->self || entry.joined == this->book.seat_version ||
                   (place != this->received.end() && place->second >= this->complete_at);
        });
    if (!complete || this->complete_at == this->book.seat_version) {
        return;
    }
    // Receivers that needed more than this node had when it sent its hand-over get another one.
    const bool was_behind = this->complete_at + 1 < this->book.seat_version;
    this->complete_at = this->book.seat_version;
    if (was_behind || this->stopping) {
        this->start_transfers();
    }
}

claim_hand_over claim_table::empty_hand_over(time_point now) const
{
    claim_hand_over message;
    message.from = this->self;
    message.seat_version = this->book.seat_version;
    message.complete_at = this->complete_at;
    message.leaving = this->stopping;
    for (const lost_owner& owner : this->lost) {
        message.lost.push_back({owner.seat.holder, owner.seat.departed, owner.base,
                                owner.everything,
                                std::chrono::floor<std::chrono::milliseconds>(now - owner.since)});
    }
    return message;
}

std::vector<addressed<claim_hand_over>> claim_table::hand_over(time_point now)
{
    std::map<seat_key, claim_hand_over> due;
    for (auto& [receiver, state] : this->transfers) {
        if (!state.acknowledged && now - state.sent >= resend_interval) {
            state.sent = now;
            due.emplace(receiver, this->empty_hand_over(now));
        }
    }
    if (due.empty() || this->book.find(this->self) == nullptr) {
        return {};
    }
    ledger next = this->book;
    if (this->stopping) {
        std::erase_if(next.seats, [&](const seat& entry) { return entry.holder == this->self; });
    }
    for (const auto& [key, state] : this->claims) {
        const auto owner = state.expires > now ? claim_owner(next, key) : std::nullopt;
        const auto place = owner ? due.find(*owner) : due.end();
        if (place != due.end()) {
            place->second.claims.push_back(
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

void claim_table::adopt_record(const claim_record& record, time_point now)
{
    const auto place = this->claims.find(record.key);
    if (place != this->claims.end() && place->second.state != claim_state::in_progress) {
        return;
    }
    this->claims[record.key] = {record.state, record.attempt,
                                now + std::min(record.remaining, this->longest_window)};
}

void claim_table::adopt_loss(const lost_seat& loss, time_point now)
{
    const time_point since = now - duration{loss.elapsed};
    const auto place =
        std::find_if(this->lost.begin(), this->lost.end(), [&](const lost_owner& owner) {
            return owner.seat.holder == loss.holder && owner.everything == loss.everything;
        });
    if (place == this->lost.end()) {
        this->lost.push_back(
            {{loss.holder, 0, loss.departed, false}, since, loss.base, loss.everything});
    }
    else {
        place->since =
            loss.everything ? std::max(place->since, since) : std::min(place->since, since);
        place->base = std::min(place->base, loss.base);
    }
}

claim_hand_over_ack claim_table::accept_hand_over(const claim_hand_over& message, time_point now)
{
    claim_hand_over_ack ack{message.from, 0, message.complete_at, message.leaving};
    if (message.seat_version != this->book.seat_version ||
        this->book.find(message.from) == nullptr) {
        return ack;
    }
    for (const claim_record& record : message.claims) {
        this->adopt_record(record, now);
    }
    for (const lost_seat& entry : message.lost) {
        this->adopt_loss(entry, now);
    }
    if (!message.has_more) {
        std::uint64_t& level = this->received[message.from];
        level = std::max(level, message.complete_at);
        this->finish_if_complete();
    }
    ack.seat_version = message.seat_version;
    return ack;
}

void claim_table::note_ack(const seat_key& receiver, const claim_hand_over_ack& ack)
{
    const auto place = this->transfers.find(receiver);
    if (place != this->transfers.end() && ack.from == this->self &&
        ack.seat_version == this->book.seat_version && ack.complete_at == this->complete_at &&
        ack.leaving == this->stopping) {
        place->second.acknowledged = true;
    }
}

void claim_table::stop()
{
    this->stopping = true;
    this->start_transfers();
}

bool claim_table::has_handed_over() const
{
    // Claims that nobody can take are lost with the last seat.
    const bool is_taken = !this->transfers.empty() || this->claims.empty();
    return this->stopping && is_taken && this->complete_at == this->book.seat_version &&
           std::all_of(this->transfers.begin(), this->transfers.end(),
                       [](const auto& named) { return named.second.acknowledged; });
}

void claim_table::extend_window(std::chrono::milliseconds window)
{
    this->longest_window = std::max(this->longest_window, window);
}

void claim_table::expire(time_point now)
{
    std::erase_if(this->claims, [&](const auto& named) { return named.second.expires <= now; });
    std::erase_if(this->lost, [&](const lost_owner& owner) {
        return now - owner.since >= this->longest_window;
    });
}

void claim_table::reset(const seat_key& next_key)
{
    this->self = next_key;
    this->book = {};
    this->complete_at = 0;
    this->stopping = false;
    this->claims.clear();
    this->received.clear();
    this->transfers.clear();
    this->lost.clear();
}

} // namespace dragonflyroad
