#pragma once

#include "claims/messages.hpp"
#include "core/clock.hpp"
#include "limits/ledger.hpp"
#include "limits/messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// The holder of the seat that owns a key, chosen by the highest rendezvous hash. Returns nothing
/// when there are no seats.
std::optional<seat_key> claim_owner(const ledger& seat_ledger, const claim_key& key);

/// In-memory idempotency claims for the keys that this node owns. The owner answers only while its
/// fence is open, and only requests that name its seat version. After a seat change, it answers for
/// a key only when every other seat that may have owned the key before has handed over its claims.
/// Keys of a seat that was removed without a hand-over are answered with `unknown` for the repeat
/// window. Not synchronised.
class claim_table {
public:
    claim_table(seat_key own_key, std::size_t max_claims, std::chrono::milliseconds max_window);

    /// `fence_open`: whether the node's fence is open now.
    claim_reply claim(const claim_request& request, bool fence_open, time_point now);

    /// Records the outcome of a claimed request. The reply `wrong_version` tells the sender to look
    /// up the new owner.
    claim_reply complete(const claim_completion& message, bool fence_open, time_point now);

    /// Adopts a newer ledger. Ignores older or equal seat versions.
    void set_seats(const ledger& next, time_point now);

    /// The hand-overs to send now: those not acknowledged yet, at most every 500 ms for each
    /// receiver.
    std::vector<addressed<claim_hand_over>> due_hand_overs(time_point now);
    claim_hand_over_ack accept_hand_over(const claim_hand_over& message, time_point now);
    void record_hand_over_ack(const seat_key& receiver, const claim_hand_over_ack& ack);

    /// Stops answering claims and starts to hand all of them over to the other seats.
    void stop();
    /// Whether every other seat has acknowledged this node's hand-over, or this node is the only
    /// seat and holds no claims. `leave` may then be written for this seat version.
    bool has_handed_over() const;

    /// Removes expired claims; to be called about once a second.
    void expire(time_point now);

    /// Discards all state, because this node continues as another run.
    void reset(const seat_key& next_key);

    /// Raises the maximum repeat window to `window`, the longest of all profiles. Never lowers it,
    /// because claims with the earlier window may still be held.
    void extend_window(std::chrono::milliseconds window);

    std::uint64_t seat_version() const { return this->current_ledger.seat_version; }
    std::size_t size() const { return this->claims.size(); }

private:
    struct key_hash {
        std::size_t operator()(const claim_key& key) const { return key.low; }
    };
    struct claim_entry {
        claim_state state = claim_state::in_progress;
        std::uint64_t attempt = 0;
        time_point expires{};
    };
    struct lost_owner {
        departure seat;
        time_point since{};
        /// Seats that joined after this seat version may not have received the lost seat's claims.
        /// A key may therefore be affected unless a seat that had joined by then has a higher
        /// rendezvous hash for the key than the lost seat.
        std::uint64_t claims_complete_at = 0;
        /// Whether this entry stands for departures that the ledger no longer lists, so that any
        /// key may be affected.
        bool affects_all_keys = false;
    };
    struct transfer {
        bool acknowledged = false;
        time_point sent{};
    };

    bool has_all_claims(const claim_key& key) const;
    bool may_be_lost(const claim_key& key, std::chrono::milliseconds window, time_point now) const;
    void record_departures(const ledger& previous, time_point now);
    void record_losses_before_join(const seat& own_seat, time_point now);
    void start_transfers();
    void update_complete_at();
    claim_hand_over make_hand_over(time_point now) const;
    void merge_lost_seat(const lost_seat& loss, time_point now);
    void merge_record(const claim_record& record, time_point now);

    seat_key self;
    std::size_t capacity;
    std::chrono::milliseconds max_window;
    ledger current_ledger;
    /// Seat version up to which this node has all claims of the keys that it owned.
    std::uint64_t complete_at = 0;
    bool stopping = false;
    std::unordered_map<claim_key, claim_entry, key_hash> claims;
    /// The `complete_at` of each sender's hand-over for the current seat version.
    std::map<seat_key, std::uint64_t> received;
    std::map<seat_key, transfer> transfers;
    std::vector<lost_owner> lost;
};

} // namespace dragonflyroad
