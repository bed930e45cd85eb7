#pragma once

#include "core/clock.hpp"
#include "limits/ledger.hpp"
#include "limits/messages.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace dragonflyroad {

/// Time between the last condition for a reclaim and the reclaim: fence (5 s) and loans (3 s), with
/// margins for clock drift and a slow evidence relay.
constexpr std::chrono::milliseconds reclaim_wait{12'000};

/// Follows the marked seats of the ledger from this node's view. The wait starts at the latest of
/// the mark, the consents, and the removal of witnesses that were seated no more; each of these
/// events can be up to now the source of evidence that keeps the holder's fence open.
class reclaim_tracker {
public:
    void set_ledger(const ledger& book, time_point now);
    void note_consent(const seat_key& witness, const seat_key& holder, time_point now);

    /// Whether the marked seat may be removed now.
    bool is_ready(const ledger& book, const seat& entry, time_point now) const;

    /// Consents to ask for now; each witness is asked once a second.
    std::vector<addressed<consent_request>> due_consents(const ledger& book, const seat_key& self,
                                                         time_point now);

private:
    struct progress {
        std::uint64_t mark = 0;
        time_point seen{};
        std::map<seat_key, time_point> consents;
        time_point asked{};
    };

    std::map<seat_key, progress> marked;
    /// When this node first saw a ledger without the seat.
    std::map<seat_key, time_point> removed;
};

} // namespace dragonflyroad
