#include "limits/node_quota.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflyroad {
namespace {

/// The next round of requests does not wait longer than this for a reply.
constexpr std::chrono::milliseconds reply_timeout{100};
/// Pause after `rounds_before_backoff` rounds without a loan. Doubles with each further such round
/// up to 32 times this value, so that an organisation above its rate causes few messages.
constexpr std::chrono::milliseconds min_backoff{25};
/// These rounds ask at least 22 peers (2, 4, 8 and 8), to reach all peers of current deployments.
/// With one round, peers with tokens were missed and requests within the rate were refused.
constexpr std::uint8_t rounds_before_backoff = 4;
constexpr std::uint8_t max_refused_rounds = rounds_before_backoff + 5;
/// Minimum number of peers asked in a round. Doubles with each round without a loan, up to
/// `max_peers_asked`.
constexpr std::size_t min_peers_asked = 2;
constexpr std::size_t max_peers_asked = 8;
/// Fraction of its fair share that an average peer is expected to be able to lend.
constexpr double expected_spare = 0.7;

/// Returns the next `count` peers in round-robin order and advances `cursor`.
std::vector<seat_key> next_peers(const std::vector<seat_key>& peers, std::size_t count,
                                 std::uint32_t& cursor)
{
    std::vector<seat_key> chosen;
    for (std::size_t index = 0; index < std::min(count, peers.size()); ++index) {
        chosen.push_back(peers[cursor++ % peers.size()]);
    }
    return chosen;
}

} // namespace

std::uint64_t node_quota::add_pending(pending_request request, random_engine& random)
{
    const std::lock_guard hold(this->pending_lock);
    std::uint64_t id = 0;
    while (id == 0 || this->pending.contains(id)) {
        id = random();
    }
    this->pending.emplace(id, std::move(request));
    return id;
}

void node_quota::finish_request(const organisation_id& name, bool granted, time_point now)
{
    shard& part = this->shard_of(name);
    const std::lock_guard hold(part.lock);
    const auto place = part.accounts.find(name);
    if (place == part.accounts.end() || place->second.outstanding_requests == 0) {
        return;
    }
    account& entry = place->second;
    entry.round_granted = entry.round_granted || granted;
    if (--entry.outstanding_requests > 0) {
        return;
    }
    if (entry.round_granted) {
        entry.refused_rounds = 0;
        return;
    }
    entry.refused_rounds = std::min<std::uint8_t>(entry.refused_rounds + 1, max_refused_rounds);
    if (entry.refused_rounds >= rounds_before_backoff) {
        entry.backoff_until =
            now + min_backoff * (1 << (entry.refused_rounds - rounds_before_backoff));
    }
}

void node_quota::expire_requests(time_point now)
{
    std::vector<organisation_id> late;
    {
        const std::lock_guard hold(this->pending_lock);
        for (auto& [id, request] : this->pending) {
            if (!request.timed_out && now - request.sent >= reply_timeout) {
                request.timed_out = true;
                this->consecutive_timeouts.fetch_add(1, std::memory_order_acq_rel);
                if (request.extends == 0) {
                    late.push_back(request.name);
                }
            }
        }
        std::erase_if(this->pending,
                      [&](const auto& named) { return now - named.second.sent >= loan_time; });
    }
    for (const organisation_id& name : late) {
        this->finish_request(name, false, now);
    }
}

void node_quota::plan_borrowing(const organisation_id& name, account& entry,
                                std::int64_t seat_units, const std::vector<seat_key>& peers,
                                random_engine& random, time_point now, loan_plan& plan)
{
    entry.advance(seat_units, now);
    const std::int64_t missing = entry.missing_units(seat_units, now);
    const double waiting = entry.waiting_requests;
    if (now < entry.backoff_until || missing <= 0 || peers.empty()) {
        entry.waiting_requests = 0;
        if (peers.empty()) {
            entry.backoff_until = now + min_backoff;
        }
        return;
    }
    if (entry.next_peer == 0) {
        entry.next_peer = static_cast<std::uint32_t>(uniform_index(random, peers.size()));
    }
    const double typical = expected_spare * static_cast<double>(fair_units(peers.size() + 1));
    const std::size_t least = std::min(min_peers_asked << entry.refused_rounds, max_peers_asked);
    const auto count =
        std::clamp(static_cast<std::size_t>(static_cast<double>(missing) / typical) + 1, least,
                   max_peers_asked);
    const std::vector<seat_key> chosen = next_peers(peers, count, entry.next_peer);
    const auto peer_count = static_cast<std::int64_t>(chosen.size());
    const auto one_token = static_cast<std::int64_t>(static_cast<double>(total_units) /
                                                     std::max(entry.max_burst(), 1.0));
    const std::int64_t units =
        std::min(total_units, std::max(missing / peer_count + 1, waiting > 0 ? one_token + 1 : 1));
    for (const seat_key& peer : chosen) {
        const std::uint64_t id = this->add_pending({name, peer, units, 0, now, false}, random);
        const double tokens = std::max(1.0, waiting / static_cast<double>(peer_count));
        plan.requests.push_back({peer, {id, this->self, name, units, tokens, 0}});
    }
    entry.outstanding_requests = static_cast<std::uint32_t>(chosen.size());
    entry.round_granted = false;
    entry.waiting_requests = 0;
}

void node_quota::plan_returns_and_extensions(const organisation_id& name, account& entry,
                                             std::int64_t seat_units,
                                             const std::vector<seat_key>& peers,
                                             random_engine& random, time_point now, loan_plan& plan)
{
    while (auto surplus = entry.return_surplus_loan(name, seat_units, now)) {
        plan.returns.push_back(std::move(*surplus));
    }
    for (const auto& [loan, loan_part, lender, units] : entry.due_extensions(seat_units, now)) {
        // A lender without two-way contact is not asked: its reply could be lost, and it would then
        // keep the units lent for longer although the borrower does not use them.
        if (std::find(peers.begin(), peers.end(), lender) == peers.end()) {
            continue;
        }
        const std::uint64_t id =
            this->add_pending({name, lender, units, loan_part, now, false}, random);
        plan.requests.push_back({lender, {id, this->self, name, units, 0, loan}});
    }
}

void node_quota::plan_shard(shard& part, const std::vector<seat_key>& peers, random_engine& random,
                            time_point now, loan_plan& plan)
{
    const std::lock_guard hold(part.lock);
    std::erase_if(part.short_of_tokens, [&](const organisation_id& name) {
        const auto place = part.accounts.find(name);
        if (place == part.accounts.end()) {
            return true;
        }
        if (place->second.outstanding_requests > 0) {
            return false;
        }
        place->second.is_listed_short = false;
        this->plan_borrowing(name, place->second, part.units, peers, random, now, plan);
        return true;
    });
    std::erase_if(part.borrowers, [&](const organisation_id& name) {
        const auto place = part.accounts.find(name);
        if (place == part.accounts.end() || !place->second.has_borrowed()) {
            return true;
        }
        this->plan_returns_and_extensions(name, place->second, part.units, peers, random, now,
                                          plan);
        return !place->second.has_borrowed();
    });
}

loan_plan node_quota::plan_loan_messages(const std::vector<seat_key>& peers, random_engine& random,
                                         time_point now)
{
    loan_plan plan;
    this->expire_requests(now);
    if (this->stopping.load(std::memory_order_acquire)) {
        return plan;
    }
    for (shard& part : this->shards) {
        this->plan_shard(part, peers, random, now, plan);
    }
    return plan;
}

} // namespace dragonflyroad
