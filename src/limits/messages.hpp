#pragma once

#include "core/ids.hpp"
#include "limits/ledger.hpp"

#include <chrono>
#include <cstdint>

namespace dragonflyroad {

/// Asks a peer to lend part of its share for one organisation, or to extend a loan.
struct borrow_request {
    /// Random number that identifies the request. One reply is accepted, while the request is
    /// pending.
    std::uint64_t id = 0;
    seat_key borrower;
    organisation_id organisation;
    /// Units requested, or the units still held of the loan to extend.
    std::int64_t units = 0;
    /// Tokens requested for the requests that are waiting.
    double tokens = 0;
    /// The lender's identifier of the loan to extend; 0 requests a new loan.
    std::uint64_t extends = 0;
};

/// Reply to a borrow_request. Zero units mean that the lender granted nothing.
struct borrow_reply {
    std::uint64_t id = 0;
    std::int64_t units = 0;
    double tokens = 0;
    /// How long the loan may be used, counted from when the request was sent. At most loan_time
    /// and, for part of a loan that the sender borrowed itself, at most the remaining time of that
    /// loan.
    std::chrono::milliseconds lasts{};
    /// Node run to which returns and extensions of the loan are sent. Differs from the sender if
    /// the sender transferred part of a loan that it had borrowed.
    seat_key lender;
    /// The lender's identifier of the loan.
    std::uint64_t loan = 0;
};

/// Returns a loan to its lender before the deadline, with the remaining tokens.
struct loan_return {
    /// The lender's identifier of the loan.
    std::uint64_t loan = 0;
    /// Unique identifier of the returned part, so that a duplicate message is applied once.
    std::uint64_t part = 0;
    organisation_id organisation;
    std::int64_t units = 0;
    double tokens = 0;
};

/// Asks a witness to consent to the reclaim of a seat.
struct consent_request {
    seat_key holder;
};

struct consent_reply {
    seat_key holder;
    bool given = false;
};

/// A message with the node run that it is addressed to. It is not for a later run of that node.
template<typename Message>
struct addressed {
    seat_key to;
    Message message;
};

} // namespace dragonflyroad
