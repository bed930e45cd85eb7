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

/// The seat that owns a key: the highest rendezvous hash. Returns nothing when there are no seats.
std::optional<seat_key> claim_owner(const ledger& book, const claim_key& key);

/// Claims of the keys that this node owns, in memory. The owner answers only inside its fence and
/// only for requests that name its seat version. After a seat change it answers for a key that it
/// did not own before only when the seats that may have owned it have handed over. Keys of a seat
/// that was removed without a hand-over are answered with `unknown` for the repeat window. Not
/// synchronised.
class claim_table {
public:
    claim_table(seat_key own_key, std::size_t most_claims,
                std::chrono::milliseconds longest_window);

    /// `fence_open`: whether the node's fence is open now.
    claim_reply claim(const claim_request& request, bool fence_open, time_point now);

    /// Records the end of a claimed request; `wrong_version` tells the sender to find the new
    /// owner.
    claim_reply complete(const claim_completion& message, bool fence_open, time_point now);

    /// Adopts a newer ledger. Older or equal seat versions are ignored.
    void set_seats(const ledger& book, time_point now);

    /// Hand-overs that have not been acknowledged, at most every 500 ms for each receiver.
    std::vector<addressed<claim_hand_over>> hand_over(time_point now);
    claim_hand_over_ack accept_hand_over(const claim_hand_over& message, time_point now);
    void note_ack(const seat_key& receiver, const claim_hand_over_ack& ack);

    /// Stops answering claims and hands all of them to the other seats.
    void stop();
    /// True when every other seat has acknowledged everything, or this node holds no claims and is
    /// the only seat; `leave` may then be written for this
    /// seat version.
    bool has_handed_over() const;

    /// Forgets expired claims; call it about once a second.
    void expire(time_point now);

    /// Forgets everything: this node continues as another run.
    void reset(const seat_key& next_key);

    /// The longest repeat window of any profile; it never decreases, because claims of the earlier
    /// window may be held.
    void extend_window(std::chrono::milliseconds window);

    std::uint64_t seat_version() const { return this->book.seat_version; }
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
        /// Seats that joined after this seat version may not have received the lost seat's claims,
        /// so that their owning a key does not show that the claims of the key are known.
        std::uint64_t base = 0;
        /// Stands for departures that the ledger no longer lists: any key may be affected.
        bool everything = false;
    };
    struct transfer {
        bool acknowledged = false;
        time_point sent{};
    };

    bool is_ready(const claim_key& key) const;
    bool is_lost(const claim_key& key, std::chrono::milliseconds window, time_point now) const;
    void note_departures(const ledger& previous, time_point now);
    void note_empty_fleet(const seat& own_seat, time_point now);
    void start_transfers();
    void finish_if_complete();
    claim_hand_over empty_hand_over(time_point now) const;
    void adopt_loss(const lost_seat& loss, time_point now);
    void adopt_record(const claim_record& record, time_point now);

    seat_key self;
    std::size_t capacity;
    std::chrono::milliseconds longest_window;
    ledger book;
    /// Seat version up to which this node has all claims of the keys that it owned.
    std::uint64_t complete_at = 0;
    bool stopping = false;
    std::unordered_map<claim_key, claim_entry, key_hash> claims;
    /// Per sender, the `complete_at` of its hand-over for the current seat version.
    std::map<seat_key, std::uint64_t> received;
    std::map<seat_key, transfer> transfers;
    std::vector<lost_owner> lost;
};

} // namespace dragonflyroad
