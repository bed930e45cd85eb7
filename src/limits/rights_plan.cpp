#include "limits/rights.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace dragonflyroad {
namespace {

/// A reply that takes longer does not hold up the next round of requests.
constexpr std::chrono::milliseconds reply_timeout{100};
/// Pause after a round in which nobody had anything to lend; doubles with each further one up to
/// 32 times. An organisation above its rate costs few messages that way.
constexpr std::chrono::milliseconds first_pause{25};
constexpr std::uint8_t most_doublings = 5;
constexpr std::size_t least_peers_asked = 2;
constexpr std::size_t most_peers_asked = 8;
/// Part of its fair share that an average peer is expected to have to spare.
constexpr double expected_spare = 0.7;

std::vector<seat_key> choose_peers(const std::vector<seat_key>& peers, std::size_t count,
                                   random_engine& random)
{
    std::vector<seat_key> chosen = peers;
    count = std::min(count, chosen.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(chosen[index], chosen[index + uniform_index(random, chosen.size() - index)]);
    }
    chosen.resize(count);
    return chosen;
}

} // namespace

std::uint64_t rights::note_pending(pending_request request, random_engine& random)
{
    const std::lock_guard hold(this->pending_lock);
    std::uint64_t id = 0;
    while (id == 0 || this->pending.contains(id)) {
        id = random();
    }
    this->pending.emplace(id, std::move(request));
    return id;
}

void rights::end_request(const organisation_id& name, bool granted, time_point now)
{
    shard& part = this->shard_of(name);
    const std::lock_guard hold(part.lock);
    const auto place = part.accounts.find(name);
    if (place == part.accounts.end() || place->second.asked == 0) {
        return;
    }
    account& entry = place->second;
    entry.helped = entry.helped || granted;
    if (--entry.asked > 0) {
        return;
    }
    if (entry.helped) {
        entry.refused_rounds = 0;
        return;
    }
    entry.no_help_until = now + first_pause * (1 << entry.refused_rounds);
    entry.refused_rounds = std::min<std::uint8_t>(entry.refused_rounds + 1, most_doublings);
}

void rights::drop_late_requests(time_point now)
{
    std::vector<organisation_id> late;
    {
        const std::lock_guard hold(this->pending_lock);
        for (auto& [id, request] : this->pending) {
            if (!request.timed_out && now - request.sent >= reply_timeout) {
                request.timed_out = true;
                if (request.extends == 0) {
                    late.push_back(request.name);
                }
            }
        }
        std::erase_if(this->pending,
                      [&](const auto& named) { return now - named.second.sent >= loan_time; });
    }
    for (const organisation_id& name : late) {
        this->end_request(name, false, now);
    }
}

void rights::plan_shortage(const organisation_id& name, account& entry, std::int64_t units_held,
                           const std::vector<seat_key>& peers, random_engine& random,
                           time_point now, loan_plan& plan)
{
    entry.advance(units_held, now);
    const std::int64_t missing = entry.missing_units(units_held, now);
    const double waiting = entry.waiting;
    if (now < entry.no_help_until || missing <= 0 || peers.empty()) {
        entry.waiting = 0;
        if (peers.empty()) {
            entry.no_help_until = now + first_pause;
        }
        return;
    }
    const double typical = expected_spare * static_cast<double>(fair_units(peers.size() + 1));
    const auto count = std::clamp<std::size_t>(
        static_cast<std::size_t>(static_cast<double>(missing) / typical) + 1, least_peers_asked,
        most_peers_asked);
    const std::vector<seat_key> chosen = choose_peers(peers, count, random);
    const auto asked = static_cast<std::int64_t>(chosen.size());
    const auto one_token = static_cast<std::int64_t>(static_cast<double>(total_units) /
                                                     std::max(entry.max_burst(), 1.0));
    const std::int64_t units =
        std::min(total_units, std::max(missing / asked + 1, waiting > 0 ? one_token + 1 : 1));
    for (const seat_key& peer : chosen) {
        const std::uint64_t id = this->note_pending({name, peer, units, 0, now, false}, random);
        const double tokens = std::max(1.0, waiting / static_cast<double>(asked));
        plan.requests.push_back({peer, {id, this->self, name, units, tokens, 0}});
    }
    entry.asked = static_cast<std::uint32_t>(chosen.size());
    entry.helped = false;
    entry.waiting = 0;
}

void rights::plan_loans(const organisation_id& name, account& entry, std::int64_t units_held,
                        random_engine& random, time_point now, loan_plan& plan)
{
    while (auto surplus = entry.release_surplus(name, units_held, now)) {
        plan.returns.push_back(std::move(*surplus));
    }
    for (const auto& [loan, lender] : entry.due_extensions(units_held, now)) {
        const std::uint64_t id = this->note_pending({name, lender, 0, loan, now, false}, random);
        plan.requests.push_back({lender, {id, this->self, name, 0, 0, loan}});
    }
}

void rights::plan_shard(shard& part, const std::vector<seat_key>& peers, random_engine& random,
                        time_point now, loan_plan& plan)
{
    const std::lock_guard hold(part.lock);
    std::erase_if(part.short_of_tokens, [&](const organisation_id& name) {
        const auto place = part.accounts.find(name);
        if (place == part.accounts.end()) {
            return true;
        }
        if (place->second.asked > 0) {
            return false;
        }
        place->second.listed = false;
        this->plan_shortage(name, place->second, part.units, peers, random, now, plan);
        return true;
    });
    std::erase_if(part.borrowers, [&](const organisation_id& name) {
        const auto place = part.accounts.find(name);
        if (place == part.accounts.end() || !place->second.has_borrowed()) {
            return true;
        }
        this->plan_loans(name, place->second, part.units, random, now, plan);
        return !place->second.has_borrowed();
    });
}

loan_plan rights::wanted(const std::vector<seat_key>& peers, random_engine& random, time_point now)
{
    loan_plan plan;
    this->drop_late_requests(now);
    if (this->stopping.load(std::memory_order_acquire)) {
        return plan;
    }
    for (shard& part : this->shards) {
        this->plan_shard(part, peers, random, now, plan);
    }
    return plan;
}

} // namespace dragonflyroad
