#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "limits/messages.hpp"
#include "limits/token_bucket.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// How long a borrower may use a loan, counted from when it sent the request.
constexpr std::chrono::milliseconds loan_time{3'000};
/// When the lender may use the lent share again, counted from its reply. The 20% margin over
/// `loan_time` covers message delay and the drift of both clocks, so that the borrower's use has
/// ended by then.
constexpr std::chrono::milliseconds loan_reclaim_time{3'600};

/// One organisation's quota at this node: its token bucket, the estimated local demand and the
/// loans lent and borrowed. `seat_units` is always the number of units of the node's seat. Not
/// synchronised; `node_quota` holds the lock.
class account {
public:
    account(const organisation& limits, double tokens, time_point now);

    void set_limits(const organisation& limits);

    /// Refills up to `now`. A loan that ended in between counts only up to its deadline, so that a
    /// node that was paused does not refill with a share that it no longer had.
    void advance(std::int64_t seat_units, time_point now);

    /// Adds a request to the demand estimate. Call it once per request, not per retry.
    void record_demand(time_point now);

    bool try_consume(std::int64_t seat_units, time_point now);

    /// Lends units of the seat, with tokens. A borrowed unit is never lent under this node's own
    /// identifier, because such a loan could outlast the one that it came from. If the seat has
    /// nothing to lend, part of a borrowed loan may be transferred (see lend_borrowed()).
    borrow_reply lend(const borrow_request& request, const seat_key& self, std::int64_t seat_units,
                      time_point now);

    /// Adds a borrowed loan. `ends` is its deadline, counted from when the request was sent.
    void add_loan(const borrow_reply& reply, std::int64_t seat_units, time_point ends,
                  time_point now);

    /// Extends the borrowed part `id` to the deadline `ends`, and gives it the reply's identifiers.
    /// Does nothing if the loan has ended or was returned.
    void extend_loan(std::uint64_t id, const borrow_reply& reply, std::int64_t seat_units,
                     time_point ends, time_point now);

    /// As lender: adds the units and tokens of a returned loan. Does nothing if the loan has
    /// expired or this part was already returned.
    void accept_return(const loan_return& message, std::int64_t seat_units, time_point now);

    /// Removes one borrowed loan that is no longer needed and returns the message for its lender.
    std::optional<addressed<loan_return>>
    return_surplus_loan(const organisation_id& name, std::int64_t seat_units, time_point now);

    /// A borrowed loan to extend.
    struct extension {
        std::uint64_t loan = 0;
        std::uint64_t part = 0;
        seat_key lender;
        std::int64_t units = 0;
    };
    /// Needed loans that end soon; an extension is requested at most every 300 ms.
    std::vector<extension> due_extensions(std::int64_t seat_units, time_point now);

    /// Units that the demand and the waiting requests need beyond those held; 0 if none.
    std::int64_t missing_units(std::int64_t seat_units, time_point now) const;

    /// Units of the seat plus borrowed minus lent.
    std::int64_t net_units(std::int64_t seat_units) const;
    std::int64_t lent_units() const;
    bool has_loans() const;
    bool has_borrowed() const;
    /// True if the account can be dropped and created again from the seat's units alone.
    bool is_idle(std::int64_t seat_units, time_point now);
    double tokens() const { return this->bucket.available(); }
    double demand_at(time_point now) const;
    double max_rate() const { return this->rate; }
    double max_burst() const { return this->burst; }
    std::size_t memory() const;

    /// Admission checks that found no token since the last round of loan requests.
    std::uint32_t waiting_requests = 0;
    /// Loan requests of the current round without a reply.
    std::uint32_t outstanding_requests = 0;
    /// Whether a peer granted a loan in the current round of requests.
    bool round_granted = false;
    /// Whether the account is in its shard's `short_of_tokens`.
    bool is_listed_short = false;
    /// Consecutive rounds without a loan.
    std::uint8_t refused_rounds = 0;
    /// Index of the peer with which the next round of requests starts, so that successive rounds
    /// reach all peers.
    std::uint32_t next_peer = 0;
    /// No loan requests are sent before this time, since recent rounds brought no loan.
    time_point backoff_until{};

private:
    struct borrowed_loan {
        /// The lender's identifier of the loan, and the identifier of the part held here.
        std::uint64_t id = 0;
        std::uint64_t part = 0;
        seat_key lender;
        std::int64_t units = 0;
        time_point started{};
        time_point ends{};
        time_point extension_requested{};
    };
    struct lent_loan {
        std::uint64_t id = 0;
        std::int64_t units = 0;
        time_point ends{};
        /// Parts already returned. The entry is kept until its deadline, also with no units left,
        /// so that a duplicate message is recognised.
        std::vector<std::uint64_t> returned;
    };
    struct loan_table {
        std::vector<borrowed_loan> borrowed;
        std::vector<lent_loan> lent;
        // Updated by recount(), so that an admission does not iterate over all loans.
        std::int64_t borrowed_units = 0;
        std::int64_t lent_units = 0;
        time_point next_end{};

        void recount();
    };

    loan_table& ensure_loans();
    void refill(std::int64_t seat_units, time_point now);
    std::int64_t needed_units(time_point now) const;
    std::int64_t spare_units(std::int64_t seat_units, time_point now) const;
    /// Transfers part of a borrowed loan to another borrower, at most until that loan's deadline.
    /// Returns and extensions of the part go to the original lender.
    borrow_reply lend_borrowed(const borrow_request& request, std::int64_t spare,
                               std::int64_t seat_units, time_point now);
    bool has_lent_id(std::uint64_t id) const;
    double withdraw_for_loan(const borrow_request& request, std::int64_t units,
                             std::int64_t seat_units, time_point now);
    borrow_reply extend_lent_loan(const borrow_request& request, std::int64_t seat_units,
                                  time_point now);

    token_bucket bucket;
    double rate = 0;
    double burst = 0;
    double demand = 0;
    time_point demand_updated{};
    std::unique_ptr<loan_table> loans;
};

} // namespace dragonflyroad
