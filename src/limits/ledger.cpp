#include "limits/ledger.hpp"

#include "core/digest.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t witnesses_per_seat = 2;

seat* find_seat(ledger& book, const seat_key& holder)
{
    const auto place = std::find_if(book.seats.begin(), book.seats.end(),
                                    [&](const seat& entry) { return entry.holder == holder; });
    return place == book.seats.end() ? nullptr : &*place;
}

std::nullopt_t no_seat(const char* step, const seat_key& holder)
{
    return fail(step, holder.node.value, "the ledger holds no seat for this run");
}

std::optional<ledger> changed(ledger book)
{
    ++book.version;
    return book;
}

std::optional<ledger> remove_seat(ledger book, const seat_key& holder, bool handed_over)
{
    const auto place = std::find_if(book.seats.begin(), book.seats.end(),
                                    [&](const seat& entry) { return entry.holder == holder; });
    book.free_units += place->units;
    ++book.seat_version;
    book.departures.push_back({holder, place->joined, book.seat_version, handed_over});
    book.seats.erase(place);
    if (book.departures.size() > kept_departures) {
        book.departures.erase(book.departures.begin());
    }
    return changed(std::move(book));
}

} // namespace

const seat* ledger::find(const seat_key& holder) const
{
    const auto place = std::find_if(this->seats.begin(), this->seats.end(),
                                    [&](const seat& entry) { return entry.holder == holder; });
    return place == this->seats.end() ? nullptr : &*place;
}

std::int64_t ledger::sum() const
{
    return std::accumulate(
        this->seats.begin(), this->seats.end(), this->free_units,
        [](std::int64_t total, const seat& entry) { return total + entry.units; });
}

std::int64_t fair_units(std::size_t seats)
{
    return total_units / static_cast<std::int64_t>(std::max<std::size_t>(seats, 1));
}

std::optional<ledger> join(ledger book, seat joiner, std::int64_t wanted)
{
    if (book.find(joiner.holder) != nullptr) {
        return fail("join", joiner.holder.node.value, "this run already has a seat");
    }
    joiner.units = std::clamp<std::int64_t>(wanted, 0, book.free_units);
    joiner.marked = 0;
    joiner.confirmed_lost = false;
    book.free_units -= joiner.units;
    joiner.joined = ++book.seat_version;
    book.seats.push_back(std::move(joiner));
    return changed(std::move(book));
}

std::optional<ledger> leave(ledger book, const seat_key& holder, bool handed_over)
{
    if (book.find(holder) == nullptr) {
        return no_seat("leave", holder);
    }
    return remove_seat(std::move(book), holder, handed_over);
}

std::optional<ledger> split(ledger book, const seat_key& from, const seat_key& to,
                            std::int64_t units)
{
    seat* const source = find_seat(book, from);
    seat* const target = find_seat(book, to);
    if (source == nullptr || target == nullptr) {
        return no_seat("split", source == nullptr ? from : to);
    }
    if (units < 0 || units > source->units) {
        return fail("split", from.node.value,
                    "cannot move " + std::to_string(units) + " units: the seat holds " +
                        std::to_string(source->units));
    }
    source->units -= units;
    target->units += units;
    return changed(std::move(book));
}

std::optional<ledger> take_free(ledger book, const seat_key& holder, std::int64_t units)
{
    seat* const entry = find_seat(book, holder);
    if (entry == nullptr) {
        return no_seat("take free units", holder);
    }
    if (units <= 0 || units > book.free_units) {
        return fail("take free units", holder.node.value,
                    "cannot take " + std::to_string(units) + " units: the free pool holds " +
                        std::to_string(book.free_units));
    }
    entry->units += units;
    book.free_units -= units;
    return changed(std::move(book));
}

std::optional<ledger> mark(ledger book, const seat_key& holder)
{
    seat* const entry = find_seat(book, holder);
    if (entry == nullptr || entry->marked != 0) {
        return fail("mark", holder.node.value, "the ledger holds no unmarked seat for this run");
    }
    entry->marked = book.version + 1;
    return changed(std::move(book));
}

std::optional<ledger> unmark(ledger book, const seat_key& holder)
{
    seat* const entry = find_seat(book, holder);
    if (entry == nullptr || entry->marked == 0) {
        return fail("unmark", holder.node.value, "the ledger holds no marked seat for this run");
    }
    entry->marked = 0;
    return changed(std::move(book));
}

std::optional<ledger> reclaim(ledger book, const seat_key& holder)
{
    const seat* const entry = book.find(holder);
    if (entry == nullptr || entry->marked == 0) {
        return fail("reclaim", holder.node.value, "the ledger holds no marked seat for this run");
    }
    return remove_seat(std::move(book), holder, false);
}

std::optional<ledger> replace_witnesses(ledger book, const seat_key& holder,
                                        std::vector<seat_key> witnesses)
{
    seat* const entry = find_seat(book, holder);
    if (entry == nullptr) {
        return no_seat("replace witnesses", holder);
    }
    entry->witnesses = std::move(witnesses);
    entry->marked = 0;
    return changed(std::move(book));
}

std::optional<ledger> confirm_lost(ledger book, const node_id& node)
{
    bool found = false;
    for (seat& entry : book.seats) {
        if (entry.holder.node == node) {
            entry.confirmed_lost = true;
            entry.marked = book.version + 1;
            found = true;
        }
    }
    if (!found) {
        return fail("confirm lost", node.value, "the ledger holds no seat for this node");
    }
    return changed(std::move(book));
}

std::vector<seat_key> choose_witnesses(const ledger& book, const seat_key& holder,
                                       const data_centre& centre,
                                       const std::vector<seat_key>& excluded)
{
    struct candidate {
        const seat* entry;
        std::uint64_t score;
    };
    std::vector<candidate> candidates;
    for (const seat& entry : book.seats) {
        const bool is_excluded =
            entry.holder.node == holder.node || entry.confirmed_lost ||
            std::find(excluded.begin(), excluded.end(), entry.holder) != excluded.end();
        if (!is_excluded) {
            candidates.push_back(
                {&entry, stable_hash(entry.holder.node.value, holder.node_incarnation)});
        }
    }
    std::vector<seat_key> chosen;
    std::vector<data_centre> used{centre};
    while (chosen.size() < witnesses_per_seat && !candidates.empty()) {
        const auto rank = [&](const candidate& entry) {
            const bool is_new_centre =
                std::find(used.begin(), used.end(), entry.entry->centre) == used.end();
            return std::pair{is_new_centre, entry.score};
        };
        const auto best = std::max_element(candidates.begin(), candidates.end(),
                                           [&](const candidate& left, const candidate& right) {
                                               return rank(left) < rank(right);
                                           });
        chosen.push_back(best->entry->holder);
        used.push_back(best->entry->centre);
        candidates.erase(best);
    }
    return chosen;
}

} // namespace dragonflyroad
