#pragma once

#include "core/clock.hpp"
#include "limits/ledger.hpp"
#include "limits/messages.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace dragonflyroad {

/// Delay between the last precondition of a reclaim (see reclaim_tracker) and the reclaim. Covers
/// the holder's fence of 5 s and its loans of 3 s, with margins for clock drift and for evidence
/// that is relayed slowly.
constexpr std::chrono::milliseconds reclaim_wait{12'000};

/// Tracks the seats that are marked for reclaim. `reclaim_wait` starts when this node has seen the
/// last of these events: the mark, and for each witness its consent or the removal of its seat.
/// Before these events, the ledger or the witness could still produce evidence that keeps the
/// holder's fence open. Witnesses are not waited for if the seat or the witness is confirmed lost.
class reclaim_tracker {
public:
    void set_ledger(const ledger& book, time_point now);
    void record_consent(const seat_key& witness, const seat_key& holder, time_point now);

    /// Whether the marked seat `entry` may be removed at `now`.
    bool is_ready(const ledger& book, const seat& entry, time_point now) const;

    /// Consent requests to send now. Each witness is asked once a second until it consents.
    std::vector<addressed<consent_request>> due_consents(const ledger& book, const seat_key& self,
                                                         time_point now);

private:
    struct progress {
        std::uint64_t mark = 0;
        time_point marked_seen{};
        std::map<seat_key, time_point> consents;
        time_point last_asked{};
    };

    std::map<seat_key, progress> marked;
    /// For each witness without a seat: when this node first saw a ledger without that seat.
    std::map<seat_key, time_point> missing_since;
};

} // namespace dragonflyroad
