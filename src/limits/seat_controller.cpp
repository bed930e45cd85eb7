#include "limits/seat_controller.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A longer gap between two steps means that this process was paused. Silence of peers is then
/// counted from the current step, so that messages can arrive before any peer is suspected.
constexpr std::chrono::milliseconds pause_gap{1'000};

/// Upper bound of the random delay before a retry after a conflict, so that nodes that start at the
/// same time do not conflict again.
constexpr std::uint64_t conflict_spread_ms = 200;
constexpr std::chrono::milliseconds retry_interval{1'000};

bool contains(const std::vector<seat_key>& keys, const seat_key& key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

} // namespace

seat_controller::seat_controller(seat_key own_key, data_centre own_centre, std::string own_address,
                                 node_quota& own_quota)
    : self(std::move(own_key)),
      centre(std::move(own_centre)),
      address(std::move(own_address)),
      quota(own_quota),
      witnesses(self)
{
}

seat_actions seat_controller::step(const std::vector<seat_peer>& peers, random_engine& random,
                                   time_point now)
{
    if (now - this->last_step > pause_gap) {
        this->resumed_at = now;
    }
    this->last_step = now;
    seat_actions next;
    next.seat_lost =
        this->was_seated && !this->leave_written && !this->stopping && this->own_seat() == nullptr;
    if (next.seat_lost) {
        return next;
    }
    // With pings every 500 ms, the fence normally stays open for more than another 4 s, so a
    // shorter remainder means that evidence is missing.
    constexpr std::chrono::milliseconds fence_renewal_margin{3'000};
    next.needs_proof =
        this->own_seat() != nullptr && this->own_fence.deadline() - now < fence_renewal_margin;
    if (this->needs_read && now >= this->next_read) {
        next.read_ledger = true;
        this->next_read = now + retry_interval * (1 + this->last_rank);
    }
    if (this->has_ledger && this->own_seat() != nullptr) {
        this->last_rank = this->rank(peers, now);
        // Two nodes ask for consents to each reclaim, because one might not reach the witnesses.
        constexpr std::size_t reclaimers = 2;
        if (this->last_rank < reclaimers) {
            next.consents = this->reclaims.due_consents(this->known_ledger, this->self, now);
        }
    }
    if (!this->writing && !this->needs_read && this->has_ledger && now >= this->next_write) {
        next.write = this->choose_write(peers, now);
        if (next.write) {
            this->conflict_delay =
                std::chrono::milliseconds{uniform_index(random, conflict_spread_ms)};
            this->start_write(*next.write, now);
        }
    }
    return next;
}

void seat_controller::start_write(const ledger_write& write, time_point now)
{
    this->writing = outstanding_write{write.book, write.expected_version, write.kind, now};
    if (write.kind == "witnesses") {
        this->pending_witnesses = write.book.find(this->self)->witnesses;
    }
}

void seat_controller::record_write_outcome(ledger_write_outcome outcome, std::uint64_t version,
                                           time_point now)
{
    if (!this->writing) {
        return;
    }
    const outstanding_write write = *std::exchange(this->writing, std::nullopt);
    if (outcome == ledger_write_outcome::written) {
        this->leave_written = this->leave_written || write.kind == "leave";
        this->adopt(write.book, version, now);
        this->refresh_proof(version, write.sent);
        return;
    }
    this->undecided_version = write.expected_version;
    this->needs_read = true;
    if (outcome == ledger_write_outcome::conflict) {
        this->next_read = now;
        this->next_write = now + this->conflict_delay;
    }
    else {
        this->next_write = now + retry_interval;
    }
}

void seat_controller::record_read(const std::optional<ledger>& book, std::uint64_t version,
                                  time_point now)
{
    this->needs_read = false;
    if (book) {
        this->adopt(*book, version, now);
    }
    else if (version == 0 && !this->has_ledger) {
        this->has_ledger = true;
    }
}

void seat_controller::record_read_failure(time_point now)
{
    this->next_read = now + retry_interval * (1 + this->last_rank);
}

void seat_controller::record_relayed_ledger(const ledger& book, std::uint64_t version,
                                            time_point now)
{
    this->adopt(book, version, now);
}

bool seat_controller::record_proof(const ledger_proof& proof, time_point now)
{
    if (proof.ledger_version != this->known_ledger.version || !this->has_ledger) {
        return proof.ledger_version < this->known_ledger.version;
    }
    if (proof.store_version > this->store_version) {
        this->adopt(this->known_ledger, proof.store_version, now);
    }
    this->refresh_proof(proof.store_version, proof.as_of);
    return true;
}

void seat_controller::refresh_proof(std::uint64_t version, time_point as_of)
{
    if (this->current_proof.ledger_version != this->known_ledger.version ||
        as_of > this->current_proof.as_of) {
        this->current_proof = {this->known_ledger.version, version, as_of};
    }
    const seat* const entry = this->own_seat();
    if (entry != nullptr && entry->marked == 0) {
        this->own_fence.renew_from_ledger(as_of);
        this->quota.set_fence(this->own_fence.deadline());
    }
}

bool seat_controller::adopt(const ledger& book, std::uint64_t version, time_point now)
{
    const bool newer = !this->has_ledger || book.version > this->known_ledger.version;
    if (version < this->store_version || (!newer && book.version < this->known_ledger.version)) {
        return false;
    }
    this->store_version = std::max(this->store_version, version);
    if (newer) {
        this->has_ledger = true;
        if (book.free_units > this->known_ledger.free_units) {
            this->free_since = now;
        }
        this->known_ledger = book;
        this->witnesses.set_ledger(book);
        this->reclaims.set_ledger(book, now);
        this->track_seats(now);
        this->current_proof = {};
        this->was_seated = this->was_seated || this->own_seat() != nullptr;
        if (this->own_seat() == nullptr && this->was_seated) {
            this->own_fence.close();
            this->quota.set_fence(this->own_fence.deadline());
        }
    }
    this->resolve_undecided(now);
    return newer;
}

void seat_controller::resolve_undecided(time_point now)
{
    // The reduction made before a write is kept while the write may still take effect or its effect
    // is missing from this node's copy of the ledger.
    if (!this->writing &&
        (!this->undecided_version || this->store_version > *this->undecided_version)) {
        this->undecided_version.reset();
        this->pending_witnesses.reset();
        if (this->reduction_written) {
            this->pending_reduction = 0;
            this->split_to.reset();
            this->reduction_written = false;
        }
    }
    this->apply_units(now);
}

void seat_controller::track_seats(time_point now)
{
    std::map<seat_key, time_point> seen;
    for (const seat& entry : this->known_ledger.seats) {
        const auto before = this->first_seen.find(entry.holder);
        seen[entry.holder] = before == this->first_seen.end() ? now : before->second;
    }
    this->first_seen = std::move(seen);
    std::map<seat_key, time_point> named;
    const seat* const entry = this->own_seat();
    for (const seat_key& witness : entry == nullptr ? std::vector<seat_key>{} : entry->witnesses) {
        const auto before = this->last_promises.find(witness);
        named[witness] = before == this->last_promises.end() ? now : before->second;
    }
    this->last_promises = std::move(named);
}

void seat_controller::apply_units(time_point now)
{
    const seat* const entry = this->own_seat();
    const std::int64_t held = entry == nullptr || this->stopping ? 0 : entry->units;
    this->quota.set_units(std::max<std::int64_t>(0, held - this->pending_reduction), now);
}

void seat_controller::record_promise(const seat_key& witness, bool was_promised, time_point as_of)
{
    const seat* const entry = this->own_seat();
    if (entry == nullptr || !contains(entry->witnesses, witness)) {
        return;
    }
    if (!was_promised) {
        return;
    }
    time_point& latest = this->last_promises[witness];
    latest = std::max(latest, as_of);
    // The promise of a witness that is being replaced does not renew the fence, because after the
    // replacement a reclaim no longer needs that witness's consent.
    if (!this->pending_witnesses || contains(*this->pending_witnesses, witness)) {
        this->own_fence.renew_from_witness(as_of);
        this->quota.set_fence(this->own_fence.deadline());
    }
}

void seat_controller::record_consent_reply(const seat_key& witness, const consent_reply& reply,
                                           time_point now)
{
    if (reply.given) {
        this->reclaims.record_consent(witness, reply.holder, now);
    }
}

bool seat_controller::promises(const seat_key& holder, time_point now) const
{
    return !this->stopping && this->witnesses.promises(holder, this->own_fence.is_open(now));
}

consent_reply seat_controller::handle_consent_request(const consent_request& request,
                                                      time_point last_heard, time_point now)
{
    const time_point heard_at = std::max(last_heard, this->resumed_at);
    return {request.holder, this->witnesses.consent(request.holder, heard_at, now)};
}

void seat_controller::stop(time_point now)
{
    this->stopping = true;
    this->stop_time = now;
    this->quota.stop_lending();
    this->apply_units(now);
}

void seat_controller::set_claims_handed_over(std::uint64_t seat_version)
{
    this->handed_over_version = seat_version;
}

bool seat_controller::has_left() const
{
    return this->stopping &&
           (this->leave_written || (this->was_seated && this->own_seat() == nullptr));
}

void seat_controller::rejoin(const seat_key& next_key, time_point now)
{
    this->quota.reset(next_key, now);
    this->self = next_key;
    this->witnesses = witness_state(next_key);
    this->witnesses.set_ledger(this->known_ledger);
    this->own_fence.close();
    this->quota.set_fence(this->own_fence.deadline());
    this->was_seated = false;
    this->pending_reduction = 0;
    this->reduction_written = false;
    this->split_to.reset();
    this->pending_witnesses.reset();
    this->track_seats(now);
}

std::vector<seat_key> seat_controller::lenders(const std::vector<seat_peer>& peers) const
{
    std::vector<seat_key> keys;
    for (const seat_peer& peer : peers) {
        const seat* const entry = this->known_ledger.find(peer.key);
        if (peer.two_way && entry != nullptr && entry->units > 0 && peer.key != this->self) {
            keys.push_back(peer.key);
        }
    }
    return keys;
}

} // namespace dragonflyroad
