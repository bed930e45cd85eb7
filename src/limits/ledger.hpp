#pragma once

#include "core/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// The units of all seats and the free pool always add up to this.
constexpr std::int64_t total_units = std::int64_t{1} << 20U;

/// One run of one node. A restarted node has another key, so it never inherits a seat.
struct seat_key {
    node_id node;
    incarnation run = 0;

    auto operator<=>(const seat_key&) const = default;
};

/// The share of every organisation's rate and burst that one node run may use.
struct seat {
    seat_key holder;
    data_centre centre;
    /// Peer address, "ip:port".
    std::string address;
    std::int64_t units = 0;
    /// Two at most. Only the holder replaces them, so its own list is never out of date.
    std::vector<seat_key> witnesses;
    /// Ledger version that marked the seat for reclaim, 0 while it is not marked. A version rather
    /// than a flag, so that a peer that missed an unmark does not count its wait from the earlier
    /// mark.
    std::uint64_t marked = 0;
    /// An operator has confirmed that this run has ended; it needs no consents and gives none.
    bool confirmed_lost = false;
    /// Seat version with which the seat was added.
    std::uint64_t joined = 0;
};

/// A seat that was removed. The owner of idempotency claims needs to know which keys it owned.
struct departure {
    seat_key holder;
    std::uint64_t joined = 0;
    std::uint64_t departed = 0;
    /// True when the node handed its claims over before it left.
    bool handed_over = false;
};

/// Departures that the ledger keeps. A node that missed more treats all keys as unknown.
constexpr std::size_t kept_departures = 32;

/// The store's record `rights/ledger`.
struct ledger {
    /// Rises by one with every change, so that one version has one content.
    std::uint64_t version = 0;
    /// Rises by one when a seat is added or removed; ownership of claims depends on it.
    std::uint64_t seat_version = 0;
    std::int64_t free_units = total_units;
    std::vector<seat> seats;
    std::vector<departure> departures;

    const seat* find(const seat_key& holder) const;
    /// Units of seats and free pool; anything but total_units is corruption.
    std::int64_t sum() const;
};

/// Units that each of `seats` nodes would hold if all held the same.
std::int64_t fair_units(std::size_t seats);

// The functions below return the changed ledger, or nothing with the reason in last_failure().

/// Adds a seat that takes up to `wanted` units from the free pool, possibly none.
std::optional<ledger> join(ledger book, seat joiner, std::int64_t wanted);
/// Removes the caller's own seat. It has stopped admitting and has no loans out; `handed_over` says
/// whether its claims went to every seat of this seat version.
std::optional<ledger> leave(ledger book, const seat_key& holder, bool handed_over);
/// Moves units from the caller's own seat to another one. The caller must have reduced its share in
/// memory before it writes the result.
std::optional<ledger> split(ledger book, const seat_key& from, const seat_key& to,
                            std::int64_t units);
/// Moves units from the free pool to the caller's own seat.
std::optional<ledger> take_free(ledger book, const seat_key& holder, std::int64_t units);
std::optional<ledger> mark(ledger book, const seat_key& holder);
/// Removes the mark; called by the holder only.
std::optional<ledger> unmark(ledger book, const seat_key& holder);
/// Removes a marked seat and returns its units to the free pool. The caller has waited and has the
/// consents (see rights_controller).
std::optional<ledger> reclaim(ledger book, const seat_key& holder);
/// Names other witnesses for the caller's own seat and removes the mark: a reclaim that was begun
/// with consents of the earlier witnesses must start over.
std::optional<ledger> replace_witnesses(ledger book, const seat_key& holder,
                                        std::vector<seat_key> witnesses);
/// Records an operator's confirmation that every seated run of the node has ended, and marks them.
std::optional<ledger> confirm_lost(ledger book, const node_id& node);

/// Witnesses for a seat: in other data centres than the holder's and than each other's where there
/// are any, chosen by rendezvous hash so that they spread evenly. Leaves out `excluded`.
std::vector<seat_key> choose_witnesses(const ledger& book, const seat_key& holder,
                                       const data_centre& centre,
                                       const std::vector<seat_key>& excluded);

} // namespace dragonflyroad
