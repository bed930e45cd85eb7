#pragma once

#include "core/clock.hpp"
#include "limits/ledger.hpp"

#include <set>

namespace dragonflyroad {

/// The seats that this node is witness of. In memory only: a restarted witness is another run that
/// no seat names.
class witness_book {
public:
    explicit witness_book(seat_key own_key) : self(std::move(own_key)) {}

    /// Adopts a newer ledger; consents for runs that it no longer seats are forgotten, because such
    /// a run gets no promise in any case.
    void set_ledger(const ledger& book);

    /// Whether an acknowledgement to `holder` carries the promise that keeps its fence open. Only
    /// while this node's own fence is open: once its seat is reclaimed nobody asks it for consent.
    bool promises(const seat_key& holder, bool own_fence_open) const;

    /// Asked to agree to the reclaim of `holder`. Agrees when the seat is marked in this node's
    /// copy of the ledger and nothing has been heard from it since `fence_time` before `now`. Once
    /// given it holds for good.
    bool consent(const seat_key& holder, time_point last_heard, time_point now);

    bool has_consented(const seat_key& holder) const { return this->consented.contains(holder); }

private:
    seat_key self;
    std::set<seat_key> witnessed;
    std::set<seat_key> marked;
    std::set<seat_key> consented;
};

} // namespace dragonflyroad
