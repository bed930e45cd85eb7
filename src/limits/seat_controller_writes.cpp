#include "limits/seat_controller.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A seat is marked for reclaim if no message from its holder has been reported for this long.
constexpr std::chrono::milliseconds silence_timeout{5'000};
/// Delay for each live node with a lower seat key (see rank()), so that usually one node writes a
/// change on behalf of all.
constexpr std::chrono::milliseconds rank_delay{300};
constexpr std::size_t max_rank = 10;
constexpr std::chrono::milliseconds proof_interval{1'000};
/// How long units stay in the free pool, so that a restarting node can take its units back. A node
/// without units does not wait.
constexpr std::chrono::milliseconds free_units_hold{5'000};
/// Smallest number of units that justifies a ledger write.
constexpr std::int64_t min_transfer = 256;
/// How long a stopping node waits for the next owners to acknowledge its claims.
constexpr std::chrono::milliseconds hand_over_timeout{3'000};

} // namespace

std::optional<ledger_write> seat_controller::make_write(const char* kind,
                                                        std::optional<ledger> book) const
{
    if (!book) {
        return std::nullopt;
    }
    return ledger_write{std::move(*book), this->store_version, kind};
}

time_point seat_controller::last_contact(const std::vector<seat_peer>& peers,
                                         const seat_key& holder) const
{
    const auto place = std::find_if(peers.begin(), peers.end(),
                                    [&](const seat_peer& peer) { return peer.key == holder; });
    const time_point direct = place == peers.end() ? time_point{} : place->last_heard;
    const auto seen = this->first_seen.find(holder);
    return std::max(
        {direct, this->resumed_at, seen == this->first_seen.end() ? time_point{} : seen->second});
}

std::size_t seat_controller::rank(const std::vector<seat_peer>& peers, time_point now) const
{
    const auto ahead = [&](const seat& entry) {
        return entry.holder < this->self &&
               now - this->last_contact(peers, entry.holder) < silence_timeout;
    };
    const auto count =
        std::count_if(this->known_ledger.seats.begin(), this->known_ledger.seats.end(), ahead);
    return std::min(static_cast<std::size_t>(count), max_rank);
}

std::optional<ledger_write> seat_controller::choose_write(const std::vector<seat_peer>& peers,
                                                          time_point now)
{
    if (this->undecided_version) {
        // Writes the known ledger without a change. The write has the same expected version as the
        // undecided one, so if it succeeds, the undecided one can no longer take effect.
        return this->make_write("proof", this->known_ledger);
    }
    if (auto write = this->own_seat_change(peers, now)) {
        return write;
    }
    if (this->own_seat() == nullptr || this->stopping) {
        return std::nullopt;
    }
    if (auto write = this->plan_removal(peers, now)) {
        return write;
    }
    if (auto write = this->plan_balance(peers, now)) {
        return write;
    }
    return this->plan_proof(peers, now);
}

std::optional<ledger_write> seat_controller::own_seat_change(const std::vector<seat_peer>& peers,
                                                             time_point now)
{
    if (auto write = this->join_or_leave(now)) {
        return write;
    }
    const seat* const entry = this->own_seat();
    if (entry == nullptr || this->stopping) {
        return std::nullopt;
    }
    if (auto write = this->repair_witnesses(peers, now)) {
        return write;
    }
    return entry->marked != 0 ? this->make_write("unmark", unmark(this->known_ledger, this->self))
                              : std::nullopt;
}

std::optional<ledger_write> seat_controller::join_or_leave(time_point now)
{
    const seat* const entry = this->own_seat();
    if (this->stopping) {
        if (entry == nullptr || this->quota.has_lent(now)) {
            return std::nullopt;
        }
        const bool handed_over = this->handed_over_version == this->known_ledger.seat_version;
        if (!handed_over && now - this->stop_time < hand_over_timeout) {
            return std::nullopt;
        }
        return this->make_write("leave", leave(this->known_ledger, this->self, handed_over));
    }
    if (entry != nullptr || this->was_seated) {
        return std::nullopt;
    }
    seat joiner;
    joiner.holder = this->self;
    joiner.centre = this->centre;
    joiner.address = this->address;
    joiner.witnesses = choose_witnesses(this->known_ledger, this->self, this->centre, {});
    const std::int64_t wanted_units = fair_units(this->known_ledger.seats.size() + 1);
    return this->make_write("join", join(this->known_ledger, std::move(joiner), wanted_units));
}

std::optional<ledger_write> seat_controller::repair_witnesses(const std::vector<seat_peer>& peers,
                                                              time_point now)
{
    constexpr std::size_t wanted_count = 2;
    const seat& entry = *this->own_seat();
    std::vector<seat_key> excluded;
    for (const auto& [witness, last_promise] : this->last_promises) {
        if (now - std::max(last_promise, this->resumed_at) >= silence_timeout * 2) {
            excluded.push_back(witness);
        }
    }
    for (const seat& other : this->known_ledger.seats) {
        if (now - this->last_contact(peers, other.holder) >= silence_timeout * 2) {
            excluded.push_back(other.holder);
        }
    }
    const auto is_unusable = [&](const seat_key& witness) {
        return this->known_ledger.find(witness) == nullptr ||
               std::find(excluded.begin(), excluded.end(), witness) != excluded.end();
    };
    const auto unusable =
        std::count_if(entry.witnesses.begin(), entry.witnesses.end(), is_unusable);
    if (unusable == 0 && entry.witnesses.size() == wanted_count) {
        return std::nullopt;
    }
    auto chosen = choose_witnesses(this->known_ledger, this->self, this->centre, excluded);
    if (chosen.empty() || (unusable == 0 && chosen.size() <= entry.witnesses.size())) {
        return std::nullopt;
    }
    return this->make_write("witnesses",
                            replace_witnesses(this->known_ledger, this->self, std::move(chosen)));
}

std::optional<ledger_write> seat_controller::plan_removal(const std::vector<seat_peer>& peers,
                                                          time_point now)
{
    const auto rank_wait = rank_delay * this->rank(peers, now);
    for (const seat& entry : this->known_ledger.seats) {
        const bool silent =
            now - this->last_contact(peers, entry.holder) >= silence_timeout + rank_wait;
        if (entry.holder == this->self || !(silent || entry.confirmed_lost)) {
            continue;
        }
        if (entry.marked == 0) {
            return this->make_write("mark", mark(this->known_ledger, entry.holder));
        }
        if (this->reclaims.is_ready(this->known_ledger, entry, now)) {
            return this->make_write("reclaim", reclaim(this->known_ledger, entry.holder));
        }
    }
    return std::nullopt;
}

std::optional<ledger_write> seat_controller::plan_balance(const std::vector<seat_peer>& peers,
                                                          time_point now)
{
    const seat& entry = *this->own_seat();
    const std::int64_t fair = fair_units(this->known_ledger.seats.size());
    const std::int64_t wanted_units = std::min(this->known_ledger.free_units, fair - entry.units);
    if (this->pending_reduction == 0 && wanted_units >= min_transfer &&
        (entry.units == 0 ||
         now - this->free_since >= free_units_hold + rank_delay * this->rank(peers, now))) {
        return this->make_write("take", take_free(this->known_ledger, this->self, wanted_units));
    }
    return this->plan_split(peers, now);
}

std::optional<ledger_write> seat_controller::plan_split(const std::vector<seat_peer>& peers,
                                                        time_point now)
{
    const auto by_units = [](const seat& left, const seat& right) {
        return std::pair{left.units, left.holder} < std::pair{right.units, right.holder};
    };
    const auto& seats = this->known_ledger.seats;
    const seat& entry = *this->own_seat();
    if (!this->split_to) {
        const auto largest = std::max_element(seats.begin(), seats.end(), by_units);
        const auto smallest = std::min_element(seats.begin(), seats.end(), by_units);
        const std::int64_t surplus = (entry.units - smallest->units) / 2;
        const bool is_reachable =
            now - this->last_contact(peers, smallest->holder) < silence_timeout;
        const bool due = largest->holder == this->self && smallest->holder != this->self &&
                         smallest->marked == 0 && is_reachable && surplus >= min_transfer &&
                         surplus >= fair_units(seats.size()) / 4 &&
                         this->known_ledger.free_units < min_transfer;
        if (!due) {
            return std::nullopt;
        }
        this->split_to = smallest->holder;
        this->pending_reduction = surplus;
        this->apply_units(now);
    }
    if (this->quota.is_overdrawn(now)) {
        return std::nullopt;
    }
    auto write = this->make_write(
        "split", split(this->known_ledger, this->self, *this->split_to, this->pending_reduction));
    this->reduction_written = write.has_value();
    if (!write) {
        this->pending_reduction = 0;
        this->split_to.reset();
        this->apply_units(now);
    }
    return write;
}

std::optional<ledger_write> seat_controller::plan_proof(const std::vector<seat_peer>& peers,
                                                        time_point now)
{
    const auto rank_wait = rank_delay * this->rank(peers, now);
    if (now - this->current_proof.as_of < proof_interval + rank_wait) {
        return std::nullopt;
    }
    return this->make_write("proof", this->known_ledger);
}

} // namespace dragonflyroad
