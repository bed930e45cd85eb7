#include "limits/account.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace dragonflyroad {
namespace {

/// Time constant of the demand estimate, in seconds. With 1 s the estimate of a Poisson stream of 7
/// requests/s is off by a quarter, and nodes with too high an estimate kept units that others
/// needed.
constexpr double demand_time_constant_s = 2;
/// Share that a node keeps for its own demand, relative to the estimate of that demand.
constexpr double headroom = 1.15;
/// A loan is returned if the remaining units still exceed the need by this factor.
constexpr double surplus_factor = 1.1;
/// A lender keeps the tokens that its own demand needs for this many seconds.
constexpr double token_reserve_s = 0.02;
constexpr std::chrono::milliseconds min_loan_age{50};
constexpr std::chrono::milliseconds extension_lead{1'500};
constexpr std::chrono::milliseconds extension_interval{300};
/// Limits the memory that one organisation can use on one node.
constexpr std::size_t max_loans = 256;

double to_share(std::int64_t units)
{
    return static_cast<double>(units) / static_cast<double>(total_units);
}

std::int64_t to_units(double share)
{
    return static_cast<std::int64_t>(
        std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(total_units)));
}

template<typename Loans>
std::int64_t sum_units(const Loans& loans)
{
    return std::accumulate(loans.begin(), loans.end(), std::int64_t{0},
                           [](std::int64_t sum, const auto& entry) { return sum + entry.units; });
}

template<typename Loans>
auto find_loan(Loans& loans, std::uint64_t id)
{
    return std::find_if(loans.begin(), loans.end(),
                        [&](const auto& entry) { return entry.id == id; });
}

} // namespace

account::account(const organisation& limits, double tokens, time_point now)
    : bucket(tokens, now), rate(limits.rate), burst(limits.burst)
{
}

void account::set_limits(const organisation& limits)
{
    this->rate = limits.rate;
    this->burst = limits.burst;
}

account::loan_table& account::ensure_loans()
{
    if (!this->loans) {
        this->loans = std::make_unique<loan_table>();
    }
    return *this->loans;
}

void account::refill(std::int64_t seat_units, time_point now)
{
    const double share = to_share(this->net_units(seat_units));
    this->bucket.refill(this->rate * share, this->burst * share, now);
}

void account::loan_table::recount()
{
    this->borrowed_units = sum_units(this->borrowed);
    this->lent_units = sum_units(this->lent);
    this->next_end = time_point::max();
    for (const borrowed_loan& entry : this->borrowed) {
        this->next_end = std::min(this->next_end, entry.ends);
    }
    for (const lent_loan& entry : this->lent) {
        this->next_end = std::min(this->next_end, entry.ends);
    }
}

void account::advance(std::int64_t seat_units, time_point now)
{
    while (this->loans && this->loans->next_end <= now) {
        const time_point ends = this->loans->next_end;
        const auto has_ended = [&](const auto& entry) { return entry.ends <= ends; };
        this->refill(seat_units, ends);
        std::erase_if(this->loans->borrowed, has_ended);
        std::erase_if(this->loans->lent, has_ended);
        this->loans->recount();
    }
    if (this->loans && this->loans->borrowed.empty() && this->loans->lent.empty()) {
        this->loans.reset();
    }
    this->refill(seat_units, now);
}

void account::record_demand(time_point now)
{
    this->demand = this->demand_at(now) + 1 / demand_time_constant_s;
    this->demand_updated = std::max(this->demand_updated, now);
}

double account::demand_at(time_point now) const
{
    const std::chrono::duration<double> age = now - this->demand_updated;
    return age.count() <= 0 ? this->demand
                            : this->demand * std::exp(-age.count() / demand_time_constant_s);
}

bool account::try_consume(std::int64_t seat_units, time_point now)
{
    this->advance(seat_units, now);
    return this->bucket.try_consume_token();
}

std::int64_t account::lent_units() const
{
    return this->loans ? this->loans->lent_units : 0;
}

std::int64_t account::net_units(std::int64_t seat_units) const
{
    if (!this->loans) {
        return seat_units;
    }
    return std::max<std::int64_t>(0, seat_units - this->loans->lent_units) +
           this->loans->borrowed_units;
}

bool account::has_loans() const
{
    return this->loans != nullptr;
}

bool account::has_borrowed() const
{
    return this->loans && !this->loans->borrowed.empty();
}

std::int64_t account::needed_units(time_point now) const
{
    if (this->rate <= 0 || this->burst <= 0) {
        return 0;
    }
    return to_units(this->demand_at(now) * headroom / this->rate);
}

std::int64_t account::missing_units(std::int64_t seat_units, time_point now) const
{
    if (this->rate <= 0 || this->burst <= 0) {
        return 0;
    }
    const std::int64_t net = this->net_units(seat_units);
    const std::int64_t for_rate = this->needed_units(now) - net;
    const std::int64_t for_waiting =
        this->waiting_requests > 0
            ? to_units(static_cast<double>(this->waiting_requests) / this->burst)
            : 0;
    return std::clamp<std::int64_t>(std::max(for_rate, for_waiting), 0, total_units - net);
}

std::int64_t account::spare_units(std::int64_t seat_units, time_point now) const
{
    if (this->waiting_requests > 0 || this->burst <= 0) {
        return 0;
    }
    const std::int64_t net = this->net_units(seat_units);
    if (this->burst * to_share(net) < 1) {
        // The share's burst is below one token, so this node cannot admit anything with it.
        return net;
    }
    const std::int64_t by_rate = net - this->needed_units(now);
    const double spare_tokens = this->bucket.available() - this->demand_at(now) * token_reserve_s;
    const std::int64_t by_tokens = to_units(spare_tokens / this->burst);
    return std::clamp<std::int64_t>(std::max(by_rate, by_tokens), 0, net);
}

bool account::has_lent_id(std::uint64_t id) const
{
    return this->loans && find_loan(this->loans->lent, id) != this->loans->lent.end();
}

borrow_reply account::extend_lent_loan(const borrow_request& request, std::int64_t seat_units,
                                       time_point now)
{
    borrow_reply refusal{request.id, 0, 0, {}, {}, 0};
    auto& lent = this->ensure_loans().lent;
    const auto place = find_loan(lent, request.extends);
    const bool own_need =
        this->waiting_requests > 0 || this->needed_units(now) > this->net_units(seat_units);
    const std::int64_t units = place == lent.end() ? 0 : std::min(request.units, place->units);
    if (units <= 0 || own_need || this->has_lent_id(request.id) || lent.size() >= max_loans) {
        return refusal;
    }
    // The rest of the loan keeps its deadline and identifier.
    place->units -= units;
    lent.push_back({request.id, units, now + loan_reclaim_time, {}});
    this->loans->recount();
    return {request.id, units, 0, loan_time, {}, request.id};
}

double account::withdraw_for_loan(const borrow_request& request, std::int64_t units,
                                  std::int64_t seat_units, time_point now)
{
    const double share = to_share(units);
    const double portion =
        this->bucket.available() * share / std::max(to_share(this->net_units(seat_units)), share);
    const double spare = this->bucket.available() - this->demand_at(now) * token_reserve_s;
    const double extra = std::min(request.tokens, spare);
    return this->bucket.withdraw(std::min(std::max(portion, extra), this->burst * share));
}

borrow_reply account::lend_borrowed(const borrow_request& request, std::int64_t spare,
                                    std::int64_t seat_units, time_point now)
{
    constexpr std::chrono::milliseconds min_remaining{300};
    borrow_reply refusal{request.id, 0, 0, {}, {}, 0};
    if (!this->loans || this->loans->borrowed.empty()) {
        return refusal;
    }
    auto& borrowed = this->loans->borrowed;
    // Units that this node borrowed from the requesting node are not lent back to it, but returned.
    const auto rank = [&](const borrowed_loan& entry) {
        return std::pair{entry.lender != request.borrower, entry.ends};
    };
    const auto place = std::max_element(
        borrowed.begin(), borrowed.end(),
        [&](const auto& first, const auto& second) { return rank(first) < rank(second); });
    const std::int64_t units = std::min({request.units, spare, place->units});
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(place->ends - now);
    if (units <= 0 || remaining < min_remaining || place->lender == request.borrower) {
        return refusal;
    }
    const double tokens = this->withdraw_for_loan(request, units, seat_units, now);
    borrow_reply reply{request.id,    units,    tokens, std::min(remaining, loan_time),
                       place->lender, place->id};
    place->units -= units;
    if (place->units == 0) {
        borrowed.erase(place);
    }
    this->loans->recount();
    this->refill(seat_units, now);
    return reply;
}

borrow_reply account::lend(const borrow_request& request, const seat_key& self,
                           std::int64_t seat_units, time_point now)
{
    borrow_reply refusal{request.id, 0, 0, {}, {}, 0};
    this->advance(seat_units, now);
    if (request.extends != 0) {
        return this->loans ? this->extend_lent_loan(request, seat_units, now) : refusal;
    }
    const std::int64_t spare = this->spare_units(seat_units, now);
    const std::int64_t units = std::min({request.units, spare, seat_units - this->lent_units()});
    if (this->has_lent_id(request.id)) {
        return refusal;
    }
    if (units <= 0 || (this->loans && this->loans->lent.size() >= max_loans)) {
        return this->lend_borrowed(request, spare, seat_units, now);
    }
    const double tokens = this->withdraw_for_loan(request, units, seat_units, now);
    this->ensure_loans().lent.push_back({request.id, units, now + loan_reclaim_time, {}});
    this->loans->recount();
    this->refill(seat_units, now);
    return {request.id, units, tokens, loan_time, self, request.id};
}

void account::add_loan(const borrow_reply& reply, std::int64_t seat_units, time_point ends,
                       time_point now)
{
    this->advance(seat_units, now);
    if (reply.units <= 0 || ends <= now) {
        return;
    }
    this->ensure_loans().borrowed.push_back(
        {reply.loan, reply.id, reply.lender, reply.units, now, ends, {}});
    this->loans->recount();
    const double tokens = std::min(reply.tokens, this->burst * to_share(reply.units));
    this->bucket.deposit(tokens, this->burst * to_share(this->net_units(seat_units)));
}

void account::extend_loan(std::uint64_t id, const borrow_reply& reply, std::int64_t seat_units,
                          time_point ends, time_point now)
{
    this->advance(seat_units, now);
    if (!this->loans) {
        return;
    }
    auto& borrowed = this->loans->borrowed;
    const auto place = std::find_if(borrowed.begin(), borrowed.end(),
                                    [&](const borrowed_loan& entry) { return entry.part == id; });
    if (place != borrowed.end()) {
        place->id = reply.loan;
        place->part = reply.id;
        place->units = std::min(place->units, reply.units);
        place->ends = std::max(place->ends, ends);
        this->loans->recount();
        this->refill(seat_units, now);
    }
}

void account::accept_return(const loan_return& message, std::int64_t seat_units, time_point now)
{
    this->advance(seat_units, now);
    if (!this->loans) {
        return;
    }
    const auto place = find_loan(this->loans->lent, message.loan);
    if (place == this->loans->lent.end() ||
        std::find(place->returned.begin(), place->returned.end(), message.part) !=
            place->returned.end()) {
        return;
    }
    const std::int64_t units = std::min(message.units, place->units);
    place->units -= units;
    place->returned.push_back(message.part);
    this->loans->recount();
    this->bucket.deposit(std::min(message.tokens, this->burst * to_share(units)),
                         this->burst * to_share(this->net_units(seat_units)));
}

std::optional<addressed<loan_return>>
account::return_surplus_loan(const organisation_id& name, std::int64_t seat_units, time_point now)
{
    this->advance(seat_units, now);
    if (!this->loans || this->waiting_requests > 0 || this->outstanding_requests > 0) {
        return std::nullopt;
    }
    const std::int64_t net = this->net_units(seat_units);
    const auto needed =
        static_cast<std::int64_t>(static_cast<double>(this->needed_units(now)) * surplus_factor);
    auto& borrowed = this->loans->borrowed;
    const auto place =
        std::find_if(borrowed.begin(), borrowed.end(), [&](const borrowed_loan& entry) {
            return now - entry.started >= min_loan_age && net - entry.units >= needed;
        });
    if (place == borrowed.end()) {
        return std::nullopt;
    }
    const double portion = this->bucket.available() * static_cast<double>(place->units) /
                           static_cast<double>(std::max<std::int64_t>(net, 1));
    addressed<loan_return> message{
        place->lender,
        {place->id, place->part, name, place->units, this->bucket.withdraw(portion)}};
    borrowed.erase(place);
    this->loans->recount();
    this->refill(seat_units, now);
    return message;
}

std::vector<account::extension> account::due_extensions(std::int64_t seat_units, time_point now)
{
    std::vector<extension> due;
    if (!this->loans) {
        return due;
    }
    const std::int64_t net = this->net_units(seat_units);
    const std::int64_t needed = this->needed_units(now);
    for (borrowed_loan& entry : this->loans->borrowed) {
        if (entry.ends - now < extension_lead && net - entry.units < needed &&
            now - entry.extension_requested >= extension_interval) {
            entry.extension_requested = now;
            due.push_back({entry.id, entry.part, entry.lender, entry.units});
        }
    }
    return due;
}

bool account::is_idle(std::int64_t seat_units, time_point now)
{
    constexpr double max_idle_demand = 0.01;
    this->advance(seat_units, now);
    return !this->loans && this->waiting_requests == 0 && this->outstanding_requests == 0 &&
           !this->is_listed_short && this->demand_at(now) < max_idle_demand &&
           this->bucket.available() >= this->burst * to_share(seat_units);
}

std::size_t account::memory() const
{
    if (!this->loans) {
        return sizeof(account);
    }
    return sizeof(account) + sizeof(loan_table) +
           this->loans->borrowed.capacity() * sizeof(borrowed_loan) +
           this->loans->lent.capacity() * sizeof(lent_loan);
}

} // namespace dragonflyroad
