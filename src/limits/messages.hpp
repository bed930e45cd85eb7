#pragma once

#include "core/ids.hpp"
#include "limits/ledger.hpp"

#include <chrono>
#include <cstdint>

namespace dragonflyroad {

/// Asks a peer to lend part of its share for one organisation, or to extend a loan.
struct borrow_request {
    /// Random; a reply is accepted once, for a request that is still pending.
    std::uint64_t id = 0;
    seat_key borrower;
    organisation_id organisation;
    std::int64_t units = 0;
    /// Tokens for requests that are waiting now.
    double tokens = 0;
    /// Identifier of a running loan to extend, or zero.
    std::uint64_t extends = 0;
};

/// Zero units mean that the lender has nothing to spare.
struct borrow_reply {
    std::uint64_t id = 0;
    std::int64_t units = 0;
    double tokens = 0;
};

/// Gives a loan back before its deadline, with the tokens that are left.
struct loan_return {
    /// Identifier of the request that opened the loan.
    std::uint64_t id = 0;
    organisation_id organisation;
    double tokens = 0;
};

/// Asks a witness to agree to the reclaim of a seat.
struct consent_request {
    seat_key holder;
};

struct consent_reply {
    seat_key holder;
    bool given = false;
};

/// A message with the node run that it is for. A node that was restarted drops it.
template<typename Message>
struct addressed {
    seat_key to;
    Message message;
};

} // namespace dragonflyroad
