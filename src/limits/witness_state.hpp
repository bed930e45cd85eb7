#pragma once

#include "core/clock.hpp"
#include "limits/ledger.hpp"

#include <set>

namespace dragonflyroad {

/// The seats for which this node is a witness, and its consents to reclaim them. Kept in memory
/// only: a restarted witness is a new run, which no seat lists.
class witness_state {
public:
    explicit witness_state(seat_key own_key) : self(std::move(own_key)) {}

    /// Adopts a newer ledger. Drops consents for runs without a seat, because a run without a seat
    /// gets no promise in any case.
    void set_ledger(const ledger& book);

    /// Whether an acknowledgement to `holder` carries the promise that keeps the holder's fence
    /// open. Requires this node's own fence to be open: a node whose seat has been reclaimed is not
    /// asked for consents any more, so its promise would not prevent a reclaim.
    bool promises(const seat_key& holder, bool own_fence_open) const;

    /// Handles a request to consent to the reclaim of the seat of `holder`. Consents if the seat is
    /// marked in this node's copy of the ledger and no message from the holder is newer than
    /// `fence_time`. A consent stays in force until the holder has no seat.
    bool consent(const seat_key& holder, time_point last_heard, time_point now);

    bool has_consented(const seat_key& holder) const { return this->consented.contains(holder); }

private:
    seat_key self;
    std::set<seat_key> witnessed;
    std::set<seat_key> marked;
    std::set<seat_key> consented;
};

} // namespace dragonflyroad
