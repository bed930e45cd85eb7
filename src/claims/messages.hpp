#pragma once

#include "core/ids.hpp"
#include "limits/ledger.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// 128-bit digest of (organisation, service, Idempotency-Key), which gives a claim a fixed size.
struct claim_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const claim_key&) const = default;
};

claim_key make_claim_key(const organisation_id& organisation, const service_name& service,
                         std::string_view idempotency_key);

/// The state of a key as recorded by its owner.
enum class claim_state { in_progress, done, unknown };

/// Sent by the ingress node to the key's owner before it forwards an unsafe request.
struct claim_request {
    claim_key key;
    /// Seat version for which the ingress node determined the owner.
    std::uint64_t seat_version = 0;
    /// Random number that identifies the request. A claim that is resent after a lost reply carries
    /// the same number.
    std::uint64_t attempt = 0;
    /// The profile's repeat_window.
    std::chrono::milliseconds window{120'000};
};

/// `unavailable`: the owner cannot answer yet (fence closed, hand-over outstanding or table full).
/// `wrong_version`: the seat versions of the two nodes differ, or the receiver does not own the
/// key; fetch the ledger and try again.
enum class claim_verdict { granted, in_progress, done, unknown, unavailable, wrong_version };

struct claim_reply {
    claim_verdict verdict = claim_verdict::unavailable;
    std::uint64_t seat_version = 0;
};

/// The outcome of a claimed request. `not_run` releases the key.
enum class claim_outcome { done, unknown, not_run };

struct claim_completion {
    claim_key key;
    std::uint64_t seat_version = 0;
    std::uint64_t attempt = 0;
    claim_outcome outcome = claim_outcome::unknown;
    std::chrono::milliseconds window{120'000};
};

struct claim_record {
    claim_key key;
    claim_state state = claim_state::in_progress;
    std::uint64_t attempt = 0;
    std::chrono::milliseconds remaining{};
};

/// A seat that was removed without a hand-over. `elapsed` is the time since the sender saw the
/// removal.
struct lost_seat {
    seat_key holder;
    std::uint64_t departed = 0;
    /// Seat version up to which the sender had all claims when it saw the removal.
    std::uint64_t claims_complete_at = 0;
    /// Whether this entry stands for unknown seats: a node missed so many ledger versions that the
    /// ledger no longer listed their departures. Any key may be affected; `holder` is empty.
    bool affects_all_keys = false;
    std::chrono::milliseconds elapsed{};
};

/// The sender's claims for the keys that the receiver owns at `seat_version`, or will own when a
/// leaving sender has left. Sent to every other seat after each seat change, even without claims,
/// because it also tells the receiver that the sender no longer answers for these keys.
struct claim_hand_over {
    seat_key from;
    std::uint64_t seat_version = 0;
    /// Seat version up to which the sender has all claims of the keys it owned.
    std::uint64_t complete_at = 0;
    /// Whether the sender is about to leave. It then still has its seat at `seat_version`.
    bool leaving = false;
    std::vector<claim_record> claims;
    std::vector<lost_seat> lost;
    /// Whether more records follow in another message, so that this one does not complete the
    /// hand-over.
    bool has_more = false;
};

struct claim_hand_over_ack {
    seat_key from;
    std::uint64_t seat_version = 0;
    std::uint64_t complete_at = 0;
    bool leaving = false;
};

} // namespace dragonflyroad
