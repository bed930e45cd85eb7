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

/// How long a borrower uses a loan, from the time it sent the request.
constexpr std::chrono::milliseconds loan_time{3'000};
/// When the lender uses the share again, from the time it replied: 20% later, so that the loan has
/// ended at the borrower whatever the delay of the messages and the drift of both clocks.
constexpr std::chrono::milliseconds loan_reclaim_time{3'600};

/// One organisation's quota at this node: tokens, the demand seen here, and the loans given and
/// taken. `own` is always the units of the node's seat. Not synchronised; rights holds the lock.
class account {
public:
    account(const organisation& limits, double tokens, time_point now);

    void set_limits(const organisation& limits);

    /// Refills up to `now`. Loans that end on the way end at their own time, so that a node that
    /// was paused does not refill with a share that it no longer had.
    void advance(std::int64_t own, time_point now);

    /// Counts a request as demand. Called once per request.
    void note_demand(time_point now);

    bool take(std::int64_t own, time_point now);

    /// Lends units that come from the seat only, never borrowed ones: a loan passed on could
    /// outlast the loan that it came from. Tokens go with the units.
    borrow_reply lend(const borrow_request& request, const seat_key& self, std::int64_t own,
                      time_point now);

    /// Adds a loan. `ends` is the deadline measured from when the request was sent.
    void add_loan(const borrow_reply& reply, std::int64_t own, time_point ends, time_point now);

    /// Moves the deadline of the loan part `id`, which is known by the reply's identifiers from now
    /// on. A loan that has ended or was returned stays so.
    void extend_loan(std::uint64_t id, const borrow_reply& reply, std::int64_t own, time_point ends,
                     time_point now);

    /// Takes a returned loan back. A loan that was reclaimed by time already changes nothing.
    void take_back(const loan_return& message, std::int64_t own, time_point now);

    /// A loan that this node does not need any more, removed from its share.
    std::optional<addressed<loan_return>> release_surplus(const organisation_id& name,
                                                          std::int64_t own, time_point now);

    /// Loans that are needed and end soon; they are asked for again at most every 300 ms.
    struct extension {
        std::uint64_t loan = 0;
        std::uint64_t part = 0;
        seat_key lender;
        std::int64_t units = 0;
    };
    std::vector<extension> due_extensions(std::int64_t own, time_point now);

    /// Units missing for the demand and the waiting requests, 0 if none.
    std::int64_t missing_units(std::int64_t own, time_point now) const;

    /// Units of the seat plus borrowed minus lent.
    std::int64_t net_units(std::int64_t own) const;
    std::int64_t lent_units() const;
    bool has_loans() const;
    bool has_borrowed() const;
    /// True when the account can be dropped and made again from the units alone.
    bool is_idle(std::int64_t own, time_point now);
    double tokens() const { return this->bucket.available(); }
    double demand_at(time_point now) const;
    double max_rate() const { return this->rate; }
    double max_burst() const { return this->burst; }
    std::size_t memory() const;

    /// Requests found short of tokens since the last request for loans.
    std::uint32_t waiting = 0;
    /// Loan requests whose reply is outstanding.
    std::uint32_t asked = 0;
    /// Units granted in the current round of requests.
    bool helped = false;
    /// Whether the account is on its shard's list of short accounts.
    bool listed = false;
    /// Consecutive rounds in which no peer had anything to lend.
    std::uint8_t refused_rounds = 0;
    /// Where the next round of requests starts among the peers, so that rounds cover all of them.
    std::uint32_t next_peer = 0;
    /// Until then peers are known to have nothing to lend.
    time_point no_help_until{};

private:
    struct taken_loan {
        /// The lender's identifier, and the one of this part.
        std::uint64_t id = 0;
        std::uint64_t part = 0;
        seat_key lender;
        std::int64_t units = 0;
        time_point started{};
        time_point ends{};
        time_point extension_asked{};
    };
    struct given_loan {
        std::uint64_t id = 0;
        std::int64_t units = 0;
        time_point ends{};
        /// Parts already returned. The entry stays until its end even with no units left, so that a
        /// message delivered again is recognised.
        std::vector<std::uint64_t> returned;
    };
    struct loan_book {
        std::vector<taken_loan> borrowed;
        std::vector<given_loan> lent;
        // Kept by recount(), so that an admission does not go through all loans.
        std::int64_t borrowed_units = 0;
        std::int64_t lent_units = 0;
        time_point next_end{};

        void recount();
    };

    loan_book& books();
    void refill(std::int64_t own, time_point now);
    std::int64_t needed_units(time_point now) const;
    std::int64_t spare_units(std::int64_t own, time_point now) const;
    borrow_reply pass_on(const borrow_request& request, std::int64_t spare, std::int64_t own,
                         time_point now);
    bool has_lent_as(std::uint64_t id) const;
    double tokens_for(const borrow_request& request, std::int64_t units, std::int64_t own,
                      time_point now);
    borrow_reply extend_lent(const borrow_request& request, std::int64_t own, time_point now);

    token_bucket bucket;
    double rate = 0;
    double burst = 0;
    double demand = 0;
    time_point demand_noted{};
    std::unique_ptr<loan_book> loans;
};

} // namespace dragonflyroad
