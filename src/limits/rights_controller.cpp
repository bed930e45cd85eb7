#include "limits/rights_controller.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A gap between two steps that shows that this process itself was paused; peers are then given
/// time to be heard before any is suspected.
constexpr std::chrono::milliseconds pause_gap{1'000};

/// Random-looking spread of retries after a conflict, so that nodes that start together do not
/// conflict again.
constexpr std::uint64_t conflict_spread_ms = 200;
constexpr std::chrono::milliseconds retry_interval{1'000};

bool contains(const std::vector<seat_key>& keys, const seat_key& key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

} // namespace

rights_controller::rights_controller(seat_key own_key, data_centre own_centre,
                                     std::string own_address, rights& own_rights)
    : self(std::move(own_key)),
      centre(std::move(own_centre)),
      address(std::move(own_address)),
      quota(own_rights),
      witnesses(self)
{
}

rights_step rights_controller::step(const std::vector<rights_peer>& peers, random_engine& random,
                                    time_point now)
{
    if (now - this->last_step > pause_gap) {
        this->resumed = now;
    }
    this->last_step = now;
    rights_step next;
    next.seat_lost =
        this->seated_before && !this->gone && !this->stopping && this->own_seat() == nullptr;
    if (next.seat_lost) {
        return next;
    }
    // With pings every 500 ms the fence normally has more than 4 s left.
    constexpr std::chrono::milliseconds short_of_proof{3'000};
    next.wants_proof = this->own_seat() != nullptr && this->guard.deadline() - now < short_of_proof;
    if (this->wants_read && now >= this->next_read) {
        next.read_ledger = true;
        this->next_read = now + retry_interval * (1 + this->last_rank);
    }
    if (this->known && this->own_seat() != nullptr) {
        this->last_rank = this->rank(peers, now);
        // Two nodes follow each reclaim: one alone might not reach the witnesses.
        constexpr std::size_t reclaimers = 2;
        if (this->last_rank < reclaimers) {
            next.consents = this->reclaims.due_consents(this->copy, this->self, now);
        }
    }
    if (!this->writing && !this->wants_read && this->known && now >= this->next_write) {
        next.write = this->choose(peers, now);
        if (next.write) {
            this->conflict_delay =
                std::chrono::milliseconds{uniform_index(random, conflict_spread_ms)};
            this->begin(*next.write, now);
        }
    }
    return next;
}

void rights_controller::begin(const ledger_write& write, time_point now)
{
    this->writing = outstanding_write{write.book, write.expected_version, write.kind, now};
    if (write.kind == "witnesses") {
        this->replacing = write.book.find(this->self)->witnesses;
    }
}

void rights_controller::note_write(ledger_write_outcome outcome, std::uint64_t version,
                                   time_point now)
{
    if (!this->writing) {
        return;
    }
    const outstanding_write write = *std::exchange(this->writing, std::nullopt);
    if (outcome == ledger_write_outcome::written) {
        this->gone = this->gone || write.kind == "leave";
        this->adopt(write.book, version, now);
        this->refresh_proof(version, write.sent);
        return;
    }
    this->undecided = write.expected_version;
    this->wants_read = true;
    if (outcome == ledger_write_outcome::conflict) {
        this->next_read = now;
        this->next_write = now + this->conflict_delay;
    }
    else {
        this->next_write = now + retry_interval;
    }
}

void rights_controller::note_read(const std::optional<ledger>& book, std::uint64_t version,
                                  time_point now)
{
    this->wants_read = false;
    if (book) {
        this->adopt(*book, version, now);
    }
    else if (version == 0 && !this->known) {
        this->known = true;
    }
}

void rights_controller::note_read_failed(time_point now)
{
    this->next_read = now + retry_interval * (1 + this->last_rank);
}

void rights_controller::note_relayed(const ledger& book, std::uint64_t version, time_point now)
{
    this->adopt(book, version, now);
}

bool rights_controller::note_proof(const ledger_proof& proof, time_point now)
{
    if (proof.ledger_version != this->copy.version || !this->known) {
        return proof.ledger_version < this->copy.version;
    }
    if (proof.store_version > this->store_version) {
        this->adopt(this->copy, proof.store_version, now);
    }
    this->refresh_proof(proof.store_version, proof.as_of);
    return true;
}

void rights_controller::refresh_proof(std::uint64_t version, time_point as_of)
{
    if (this->proved.ledger_version != this->copy.version || as_of > this->proved.as_of) {
        this->proved = {this->copy.version, version, as_of};
    }
    const seat* const entry = this->own_seat();
    if (entry != nullptr && entry->marked == 0) {
        this->guard.note_ledger(as_of);
        this->quota.set_fence(this->guard.deadline());
    }
}

bool rights_controller::adopt(const ledger& book, std::uint64_t version, time_point now)
{
    const bool newer = !this->known || book.version > this->copy.version;
    if (version < this->store_version || (!newer && book.version < this->copy.version)) {
        return false;
    }
    this->store_version = std::max(this->store_version, version);
    if (newer) {
        this->known = true;
        if (book.free_units > this->copy.free_units) {
            this->free_since = now;
        }
        this->copy = book;
        this->witnesses.set_ledger(book);
        this->reclaims.set_ledger(book, now);
        this->note_seats(now);
        this->proved = {};
        this->seated_before = this->seated_before || this->own_seat() != nullptr;
        if (this->own_seat() == nullptr && this->seated_before) {
            this->guard.close();
            this->quota.set_fence(this->guard.deadline());
        }
    }
    this->settle(now);
    return newer;
}

void rights_controller::settle(time_point now)
{
    // While a write may still take effect, or its effect is not in the copy, the reduction that
    // came before it stays.
    if (!this->writing && (!this->undecided || this->store_version > *this->undecided)) {
        this->undecided.reset();
        this->replacing.reset();
        if (this->reduction_written) {
            this->reduced = 0;
            this->split_to.reset();
            this->reduction_written = false;
        }
    }
    this->apply_units(now);
}

void rights_controller::note_seats(time_point now)
{
    std::map<seat_key, time_point> seen;
    for (const seat& entry : this->copy.seats) {
        const auto before = this->first_seen.find(entry.holder);
        seen[entry.holder] = before == this->first_seen.end() ? now : before->second;
    }
    this->first_seen = std::move(seen);
    std::map<seat_key, time_point> named;
    const seat* const entry = this->own_seat();
    for (const seat_key& witness : entry == nullptr ? std::vector<seat_key>{} : entry->witnesses) {
        const auto before = this->promised.find(witness);
        named[witness] = before == this->promised.end() ? now : before->second;
    }
    this->promised = std::move(named);
}

void rights_controller::apply_units(time_point now)
{
    const seat* const entry = this->own_seat();
    const std::int64_t held = entry == nullptr || this->stopping ? 0 : entry->units;
    this->quota.set_units(std::max<std::int64_t>(0, held - this->reduced), now);
}

void rights_controller::note_promise(const seat_key& witness, bool was_promised, time_point as_of)
{
    const seat* const entry = this->own_seat();
    if (entry == nullptr || !contains(entry->witnesses, witness)) {
        return;
    }
    if (!was_promised) {
        return;
    }
    time_point& latest = this->promised[witness];
    latest = std::max(latest, as_of);
    // A witness that is being replaced gives no evidence: once the replacement takes effect nobody
    // asks it for consent.
    if (!this->replacing || contains(*this->replacing, witness)) {
        this->guard.note_witness(as_of);
        this->quota.set_fence(this->guard.deadline());
    }
}

void rights_controller::note_consent(const seat_key& witness, const consent_reply& reply,
                                     time_point now)
{
    if (reply.given) {
        this->reclaims.note_consent(witness, reply.holder, now);
    }
}

bool rights_controller::promises(const seat_key& holder, time_point now) const
{
    return !this->stopping && this->witnesses.promises(holder, this->guard.is_open(now));
}

consent_reply rights_controller::answer(const consent_request& request, time_point last_heard,
                                        time_point now)
{
    const time_point heard_at = std::max(last_heard, this->resumed);
    return {request.holder, this->witnesses.consent(request.holder, heard_at, now)};
}

void rights_controller::stop(time_point now)
{
    this->stopping = true;
    this->stop_time = now;
    this->quota.stop_lending();
    this->apply_units(now);
}

void rights_controller::set_claims_handed_over(std::uint64_t seat_version)
{
    this->handed_over_version = seat_version;
}

bool rights_controller::has_left() const
{
    return this->stopping && (this->gone || (this->seated_before && this->own_seat() == nullptr));
}

void rights_controller::rejoin(const seat_key& next_key, time_point now)
{
    this->quota.reset(next_key, now);
    this->self = next_key;
    this->witnesses = witness_book(next_key);
    this->witnesses.set_ledger(this->copy);
    this->guard.close();
    this->quota.set_fence(this->guard.deadline());
    this->seated_before = false;
    this->reduced = 0;
    this->reduction_written = false;
    this->split_to.reset();
    this->replacing.reset();
    this->note_seats(now);
}

std::vector<seat_key> rights_controller::lenders(const std::vector<rights_peer>& peers) const
{
    std::vector<seat_key> keys;
    for (const rights_peer& peer : peers) {
        const seat* const entry = this->copy.find(peer.key);
        if (peer.two_way && entry != nullptr && entry->units > 0 && peer.key != this->self) {
            keys.push_back(peer.key);
        }
    }
    return keys;
}

} // namespace dragonflyroad
