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

/// One run (incarnation) of one node. A restarted node has a new key, so it never inherits a seat.
struct seat_key {
    node_id node;
    incarnation node_incarnation = 0;

    auto operator<=>(const seat_key&) const = default;
};

/// The share of every organisation's rate and burst that one node run may use, as units out of
/// total_units.
struct seat {
    seat_key holder;
    data_centre centre;
    /// Peer address, "ip:port".
    std::string address;
    std::int64_t units = 0;
    /// At most two nodes that must consent to a reclaim of the seat. Only the holder replaces them,
    /// so the holder always knows the current ones.
    std::vector<seat_key> witnesses;
    /// Ledger version that marked the seat for reclaim; 0 if it is not marked. This is a version
    /// and not a flag, so that a peer that missed an unmark does not count `reclaim_wait` from the
    /// earlier mark.
    std::uint64_t marked = 0;
    /// An operator has confirmed that this run has ended. Its reclaim needs no consents, and
    /// reclaims of other seats don't need its consent.
    bool confirmed_lost = false;
    /// Seat version that added the seat.
    std::uint64_t joined = 0;
};

/// Record of a removed seat. Nodes use it to find the idempotency keys that the holder owned.
struct departure {
    seat_key holder;
    std::uint64_t joined = 0;
    std::uint64_t departed = 0;
    /// Whether the node transferred its claims to the other seats before it left.
    bool handed_over = false;
};

/// Maximum number of departures that the ledger keeps. A node that missed more treats the state of
/// all keys as unknown.
constexpr std::size_t kept_departures = 32;

/// Quota shares of all nodes, stored under the key `rights/ledger`.
struct ledger {
    /// Incremented by every change, so that a version identifies the content.
    std::uint64_t version = 0;
    /// Incremented when a seat is added or removed. The ownership of claims depends on it.
    std::uint64_t seat_version = 0;
    std::int64_t free_units = total_units;
    std::vector<seat> seats;
    std::vector<departure> departures;

    const seat* find(const seat_key& holder) const;
    /// Units of all seats and the free pool. Any value other than total_units means corruption.
    std::int64_t sum() const;
};

/// Units per seat if total_units are divided equally between `seats` seats.
std::int64_t fair_units(std::size_t seats);

// The functions from join() to confirm_lost() return the changed ledger, or std::nullopt with the
// reason in last_failure().

/// Adds a seat with up to `wanted` units from the free pool, possibly none.
std::optional<ledger> join(ledger book, seat joiner, std::int64_t wanted);
/// Removes the caller's own seat. The caller must have stopped admitting requests and must have no
/// loans lent. `handed_over` says whether its claims went to every seat of this seat version.
std::optional<ledger> leave(ledger book, const seat_key& holder, bool handed_over);
/// Moves units from the caller's own seat to another one. The caller must have reduced its share in
/// memory before it writes the result.
std::optional<ledger> split(ledger book, const seat_key& from, const seat_key& to,
                            std::int64_t units);
/// Moves units from the free pool to the caller's own seat.
std::optional<ledger> take_free(ledger book, const seat_key& holder, std::int64_t units);
/// Marks a seat for reclaim.
std::optional<ledger> mark(ledger book, const seat_key& holder);
/// Removes the mark. Only the holder may call it.
std::optional<ledger> unmark(ledger book, const seat_key& holder);
/// Removes a marked seat and returns its units to the free pool. The caller must have checked
/// reclaim_tracker::is_ready(), which covers the witnesses' consents and `reclaim_wait`.
std::optional<ledger> reclaim(ledger book, const seat_key& holder);
/// Replaces the witnesses of the caller's own seat and removes the mark, because a reclaim with
/// consents of the earlier witnesses must start over.
std::optional<ledger> replace_witnesses(ledger book, const seat_key& holder,
                                        std::vector<seat_key> witnesses);
/// Records an operator's confirmation that every run of the node with a seat has ended, and marks
/// these seats.
std::optional<ledger> confirm_lost(ledger book, const node_id& node);

/// Chooses up to two witnesses for a seat, none of them in `excluded`. Prefers data centres other
/// than the holder's and each other's. A rendezvous hash spreads the witnesses evenly over the
/// nodes.
std::vector<seat_key> choose_witnesses(const ledger& book, const seat_key& holder,
                                       const data_centre& centre,
                                       const std::vector<seat_key>& excluded);

} // namespace dragonflyroad
