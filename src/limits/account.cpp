#include "limits/account.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace dragonflyroad {
namespace {

/// Share asked for beyond the measured demand: the estimate of a Poisson stream over one second is
/// off by a fifth at 15 requests/s.
constexpr double headroom = 1.25;
/// A loan is given back when the need is covered without it by this factor.
constexpr double surplus_factor = 1.1;
/// Own demand that a lender keeps tokens for.
constexpr double reserve_seconds = 0.1;
constexpr std::chrono::milliseconds least_loan_age{50};
constexpr std::chrono::milliseconds extension_lead{1'500};
constexpr std::chrono::milliseconds extension_interval{300};
/// Bounds the memory that one organisation can take on one node.
constexpr std::size_t most_loans = 256;

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

account::loan_book& account::books()
{
    if (!this->loans) {
        this->loans = std::make_unique<loan_book>();
    }
    return *this->loans;
}

void account::refill(std::int64_t own, time_point now)
{
    const double share = to_share(this->net_units(own));
    this->bucket.refill(this->rate * share, this->burst * share, now);
}

void account::advance(std::int64_t own, time_point now)
{
    const auto sooner = [](const loan& left, const loan& right) { return left.ends < right.ends; };
    while (this->loans) {
        auto& borrowed = this->loans->borrowed;
        auto& lent = this->loans->lent;
        const auto first_borrowed = std::min_element(borrowed.begin(), borrowed.end(), sooner);
        const auto first_lent = std::min_element(lent.begin(), lent.end(), sooner);
        const bool from_borrowed =
            first_borrowed != borrowed.end() &&
            (first_lent == lent.end() || first_borrowed->ends <= first_lent->ends);
        if (!from_borrowed && first_lent == lent.end()) {
            this->loans.reset();
            break;
        }
        const time_point ends = from_borrowed ? first_borrowed->ends : first_lent->ends;
        if (ends > now) {
            break;
        }
        this->refill(own, ends);
        if (from_borrowed) {
            borrowed.erase(first_borrowed);
        }
        else {
            lent.erase(first_lent);
        }
    }
    this->refill(own, now);
}

void account::note_demand(time_point now)
{
    this->demand = this->demand_at(now) + 1;
    this->demand_noted = std::max(this->demand_noted, now);
}

double account::demand_at(time_point now) const
{
    // Time constant of one second, so the decayed count is a rate per second.
    const std::chrono::duration<double> age = now - this->demand_noted;
    return age.count() <= 0 ? this->demand : this->demand * std::exp(-age.count());
}

bool account::take(std::int64_t own, time_point now)
{
    this->advance(own, now);
    return this->bucket.take();
}

std::int64_t account::lent_units() const
{
    return this->loans ? sum_units(this->loans->lent) : 0;
}

std::int64_t account::net_units(std::int64_t own) const
{
    if (!this->loans) {
        return own;
    }
    return std::max<std::int64_t>(0, own - sum_units(this->loans->lent)) +
           sum_units(this->loans->borrowed);
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

std::int64_t account::missing_units(std::int64_t own, time_point now) const
{
    if (this->rate <= 0 || this->burst <= 0) {
        return 0;
    }
    const std::int64_t net = this->net_units(own);
    const std::int64_t for_rate = this->needed_units(now) - net;
    const std::int64_t for_waiting =
        this->waiting > 0 ? to_units(static_cast<double>(this->waiting) / this->burst) : 0;
    return std::clamp<std::int64_t>(std::max(for_rate, for_waiting), 0, total_units - net);
}

std::int64_t account::spare_units(std::int64_t own, time_point now) const
{
    const std::int64_t left = std::max<std::int64_t>(0, own - this->lent_units());
    if (this->waiting > 0 || this->burst <= 0) {
        return 0;
    }
    const std::int64_t net = this->net_units(own);
    if (this->burst * to_share(net) < 1) {
        // The share cannot hold one whole token, so it is of no use here on its own.
        return left;
    }
    const std::int64_t by_rate = net - this->needed_units(now);
    const double spare_tokens = this->bucket.available() - this->demand_at(now) * reserve_seconds;
    const std::int64_t by_tokens = to_units(spare_tokens / this->burst);
    return std::clamp<std::int64_t>(std::max(by_rate, by_tokens), 0, left);
}

borrow_reply account::extend_lent(const borrow_request& request, std::int64_t own, time_point now)
{
    auto& lent = this->books().lent;
    const auto place = find_loan(lent, request.extends);
    const bool own_need = this->waiting > 0 || this->needed_units(now) > this->net_units(own);
    if (place == lent.end() || place->peer != request.borrower || own_need) {
        return {request.id, 0, 0};
    }
    place->ends = now + loan_reclaim_time;
    return {request.id, place->units, 0};
}

borrow_reply account::lend(const borrow_request& request, std::int64_t own, time_point now)
{
    this->advance(own, now);
    if (request.extends != 0) {
        return this->loans ? this->extend_lent(request, own, now) : borrow_reply{request.id, 0, 0};
    }
    const std::int64_t units = std::min(request.units, this->spare_units(own, now));
    const bool repeated =
        this->loans && find_loan(this->loans->lent, request.id) != this->loans->lent.end();
    if (units <= 0 || repeated || (this->loans && this->loans->lent.size() >= most_loans)) {
        return {request.id, 0, 0};
    }
    const double before = to_share(this->net_units(own));
    const double lent_share = to_share(units);
    const double portion = this->bucket.available() * lent_share / before;
    const double spare_tokens = this->bucket.available() - this->demand_at(now) * reserve_seconds;
    const double extra = std::min(request.tokens, spare_tokens);
    const double tokens =
        this->bucket.withdraw(std::min(std::max(portion, extra), this->burst * lent_share));
    this->books().lent.push_back(
        {request.id, request.borrower, units, now, now + loan_reclaim_time, {}});
    this->refill(own, now);
    return {request.id, units, tokens};
}

void account::add_loan(std::uint64_t id, const seat_key& lender, const borrow_reply& reply,
                       std::int64_t own, time_point ends, time_point now)
{
    this->advance(own, now);
    if (reply.units <= 0 || ends <= now) {
        return;
    }
    this->books().borrowed.push_back({id, lender, reply.units, now, ends, {}});
    const double tokens = std::min(reply.tokens, this->burst * to_share(reply.units));
    this->bucket.deposit(tokens, this->burst * to_share(this->net_units(own)));
}

void account::extend_loan(std::uint64_t id, std::int64_t own, time_point ends, time_point now)
{
    this->advance(own, now);
    if (!this->loans) {
        return;
    }
    const auto place = find_loan(this->loans->borrowed, id);
    if (place != this->loans->borrowed.end()) {
        place->ends = std::max(place->ends, ends);
    }
}

void account::take_back(const loan_return& message, std::int64_t own, time_point now)
{
    this->advance(own, now);
    if (!this->loans) {
        return;
    }
    const auto place = find_loan(this->loans->lent, message.id);
    if (place == this->loans->lent.end()) {
        return;
    }
    const double tokens = std::min(message.tokens, this->burst * to_share(place->units));
    this->loans->lent.erase(place);
    this->bucket.deposit(tokens, this->burst * to_share(this->net_units(own)));
}

std::optional<addressed<loan_return>> account::release_surplus(const organisation_id& name,
                                                               std::int64_t own, time_point now)
{
    this->advance(own, now);
    if (!this->loans || this->waiting > 0 || this->asked > 0) {
        return std::nullopt;
    }
    const std::int64_t net = this->net_units(own);
    const auto needed =
        static_cast<std::int64_t>(static_cast<double>(this->needed_units(now)) * surplus_factor);
    auto& borrowed = this->loans->borrowed;
    const auto place = std::find_if(borrowed.begin(), borrowed.end(), [&](const loan& entry) {
        return now - entry.started >= least_loan_age && net - entry.units >= needed;
    });
    if (place == borrowed.end()) {
        return std::nullopt;
    }
    const double portion = this->bucket.available() * static_cast<double>(place->units) /
                           static_cast<double>(std::max<std::int64_t>(net, 1));
    addressed<loan_return> message{place->peer, {place->id, name, this->bucket.withdraw(portion)}};
    borrowed.erase(place);
    this->refill(own, now);
    return message;
}

std::vector<std::pair<std::uint64_t, seat_key>> account::due_extensions(std::int64_t own,
                                                                        time_point now)
{
    std::vector<std::pair<std::uint64_t, seat_key>> due;
    if (!this->loans) {
        return due;
    }
    const std::int64_t net = this->net_units(own);
    const std::int64_t needed = this->needed_units(now);
    for (loan& entry : this->loans->borrowed) {
        if (entry.ends - now < extension_lead && net - entry.units < needed &&
            now - entry.extension_asked >= extension_interval) {
            entry.extension_asked = now;
            due.emplace_back(entry.id, entry.peer);
        }
    }
    return due;
}

bool account::is_idle(std::int64_t own, time_point now)
{
    constexpr double least_demand = 0.01;
    this->advance(own, now);
    return !this->loans && this->waiting == 0 && this->asked == 0 && !this->listed &&
           this->demand_at(now) < least_demand &&
           this->bucket.available() >= this->burst * to_share(own);
}

std::size_t account::memory() const
{
    if (!this->loans) {
        return sizeof(account);
    }
    const std::size_t slots = this->loans->borrowed.capacity() + this->loans->lent.capacity();
    return sizeof(account) + sizeof(loan_book) + slots * sizeof(loan);
}

} // namespace dragonflyroad
