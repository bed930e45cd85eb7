#include "limits/rights_controller.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// A seat whose holder nobody has heard for this long is marked.
constexpr std::chrono::milliseconds silence{5'000};
/// Delay per rank, so that one node usually writes for all.
constexpr std::chrono::milliseconds rank_delay{300};
constexpr std::size_t most_ranks = 10;
constexpr std::chrono::milliseconds proof_interval{1'000};
/// A restarting node is given this long to take the units that it left in the free pool.
constexpr std::chrono::milliseconds free_hold{5'000};
/// Smaller amounts are not worth a write.
constexpr std::int64_t least_transfer = 256;
/// A stopping node waits this long for its claims to be acknowledged by their next owners.
constexpr std::chrono::milliseconds hand_over_time{3'000};

} // namespace

std::optional<ledger_write> rights_controller::make(const char* kind,
                                                    std::optional<ledger> book) const
{
    if (!book) {
        return std::nullopt;
    }
    return ledger_write{std::move(*book), this->store_version, kind};
}

time_point rights_controller::heard(const std::vector<rights_peer>& peers,
                                    const seat_key& holder) const
{
    const auto place = std::find_if(peers.begin(), peers.end(),
                                    [&](const rights_peer& peer) { return peer.key == holder; });
    const time_point direct = place == peers.end() ? time_point{} : place->last_heard;
    const auto seen = this->first_seen.find(holder);
    return std::max(
        {direct, this->resumed, seen == this->first_seen.end() ? time_point{} : seen->second});
}

std::size_t rights_controller::rank(const std::vector<rights_peer>& peers, time_point now) const
{
    const auto ahead = [&](const seat& entry) {
        return entry.holder < this->self && now - this->heard(peers, entry.holder) < silence;
    };
    const auto count = std::count_if(this->copy.seats.begin(), this->copy.seats.end(), ahead);
    return std::min(static_cast<std::size_t>(count), most_ranks);
}

std::optional<ledger_write> rights_controller::choose(const std::vector<rights_peer>& peers,
                                                      time_point now)
{
    if (this->undecided) {
        // The same content at the same version: if it is written, the earlier write never will be.
        return this->make("proof", this->copy);
    }
    if (auto write = this->own_change(peers, now)) {
        return write;
    }
    if (this->own_seat() == nullptr || this->stopping) {
        return std::nullopt;
    }
    if (auto write = this->removal(peers, now)) {
        return write;
    }
    if (auto write = this->balance(peers, now)) {
        return write;
    }
    return this->prove(peers, now);
}

std::optional<ledger_write> rights_controller::own_change(const std::vector<rights_peer>& peers,
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
    return entry->marked != 0 ? this->make("unmark", unmark(this->copy, this->self)) : std::nullopt;
}

std::optional<ledger_write> rights_controller::join_or_leave(time_point now)
{
    const seat* const entry = this->own_seat();
    if (this->stopping) {
        if (entry == nullptr || this->quota.has_lent(now)) {
            return std::nullopt;
        }
        const bool handed_over = this->handed_over_version == this->copy.seat_version;
        if (!handed_over && now - this->stop_time < hand_over_time) {
            return std::nullopt;
        }
        return this->make("leave", leave(this->copy, this->self, handed_over));
    }
    if (entry != nullptr || this->seated_before) {
        return std::nullopt;
    }
    seat joiner;
    joiner.holder = this->self;
    joiner.centre = this->centre;
    joiner.address = this->address;
    joiner.witnesses = choose_witnesses(this->copy, this->self, this->centre, {});
    const std::int64_t wanted = fair_units(this->copy.seats.size() + 1);
    return this->make("join", join(this->copy, std::move(joiner), wanted));
}

std::optional<ledger_write>
rights_controller::repair_witnesses(const std::vector<rights_peer>& peers, time_point now)
{
    constexpr std::size_t wanted = 2;
    const seat& entry = *this->own_seat();
    std::vector<seat_key> excluded;
    for (const auto& [witness, last_promise] : this->promised) {
        if (now - std::max(last_promise, this->resumed) >= silence * 2) {
            excluded.push_back(witness);
        }
    }
    for (const seat& other : this->copy.seats) {
        if (now - this->heard(peers, other.holder) >= silence * 2) {
            excluded.push_back(other.holder);
        }
    }
    const auto is_bad = [&](const seat_key& witness) {
        return this->copy.find(witness) == nullptr ||
               std::find(excluded.begin(), excluded.end(), witness) != excluded.end();
    };
    const auto bad = std::count_if(entry.witnesses.begin(), entry.witnesses.end(), is_bad);
    if (bad == 0 && entry.witnesses.size() == wanted) {
        return std::nullopt;
    }
    auto chosen = choose_witnesses(this->copy, this->self, this->centre, excluded);
    if (chosen.empty() || (bad == 0 && chosen.size() <= entry.witnesses.size())) {
        return std::nullopt;
    }
    return this->make("witnesses", replace_witnesses(this->copy, this->self, std::move(chosen)));
}

std::optional<ledger_write> rights_controller::removal(const std::vector<rights_peer>& peers,
                                                       time_point now)
{
    const auto turn = rank_delay * this->rank(peers, now);
    for (const seat& entry : this->copy.seats) {
        const bool silent = now - this->heard(peers, entry.holder) >= silence + turn;
        if (entry.holder == this->self || !(silent || entry.confirmed_lost)) {
            continue;
        }
        if (entry.marked == 0) {
            return this->make("mark", mark(this->copy, entry.holder));
        }
        if (this->reclaims.is_ready(this->copy, entry, now)) {
            return this->make("reclaim", reclaim(this->copy, entry.holder));
        }
    }
    return std::nullopt;
}

std::optional<ledger_write> rights_controller::balance(const std::vector<rights_peer>& peers,
                                                       time_point now)
{
    const seat& entry = *this->own_seat();
    const std::int64_t fair = fair_units(this->copy.seats.size());
    const std::int64_t wanted = std::min(this->copy.free_units, fair - entry.units);
    if (this->reduced == 0 && wanted >= least_transfer &&
        (entry.units == 0 ||
         now - this->free_since >= free_hold + rank_delay * this->rank(peers, now))) {
        return this->make("take", take_free(this->copy, this->self, wanted));
    }
    return this->give(peers, now);
}

std::optional<ledger_write> rights_controller::give(const std::vector<rights_peer>& peers,
                                                    time_point now)
{
    const auto by_units = [](const seat& left, const seat& right) {
        return std::pair{left.units, left.holder} < std::pair{right.units, right.holder};
    };
    const auto& seats = this->copy.seats;
    const seat& entry = *this->own_seat();
    if (!this->split_to) {
        const auto largest = std::max_element(seats.begin(), seats.end(), by_units);
        const auto poorest = std::min_element(seats.begin(), seats.end(), by_units);
        const std::int64_t surplus = (entry.units - poorest->units) / 2;
        const bool heard_lately = now - this->heard(peers, poorest->holder) < silence;
        const bool due = largest->holder == this->self && poorest->holder != this->self &&
                         poorest->marked == 0 && heard_lately && surplus >= least_transfer &&
                         surplus >= fair_units(seats.size()) / 4 &&
                         this->copy.free_units < least_transfer;
        if (!due) {
            return std::nullopt;
        }
        this->split_to = poorest->holder;
        this->reduced = surplus;
        this->apply_units(now);
    }
    if (this->quota.is_overdrawn(now)) {
        return std::nullopt;
    }
    auto write = this->make("split", split(this->copy, this->self, *this->split_to, this->reduced));
    this->reduction_written = write.has_value();
    if (!write) {
        this->reduced = 0;
        this->split_to.reset();
        this->apply_units(now);
    }
    return write;
}

std::optional<ledger_write> rights_controller::prove(const std::vector<rights_peer>& peers,
                                                     time_point now)
{
    const auto turn = rank_delay * this->rank(peers, now);
    if (now - this->proved.as_of < proof_interval + turn) {
        return std::nullopt;
    }
    return this->make("proof", this->copy);
}

} // namespace dragonflyroad
