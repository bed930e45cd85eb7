#include "limits/node_quota.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_unit_gains = 8;
/// After this many loan requests in a row without a reply, the node assumes that it is partitioned
/// from its peers, and admission checks return `unproved`. Without this limit, clients waited for
/// loans that could not arrive while other nodes had tokens.
constexpr std::uint32_t max_consecutive_timeouts = 6;
/// How long requests wait for evidence after the fence was first found closed.
constexpr std::chrono::milliseconds fence_grace{250};

std::int64_t to_ticks(time_point time)
{
    return time.time_since_epoch().count();
}

void add_unique(std::vector<organisation_id>& names, const organisation_id& name)
{
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

} // namespace

node_quota::node_quota(seat_key own_key) : self(std::move(own_key)) {}

node_quota::shard& node_quota::shard_of(const organisation_id& name)
{
    return this->shards[std::hash<organisation_id>{}(name) % shard_count];
}

double node_quota::idle_tokens(const organisation& limits, time_point now) const
{
    const std::lock_guard hold(this->unit_gains_lock);
    double tokens = 0;
    for (const unit_gain& entry : this->unit_gains) {
        const double share = static_cast<double>(entry.units) / static_cast<double>(total_units);
        token_bucket bucket(0, entry.since);
        bucket.refill(limits.rate * share, limits.burst * share, now);
        tokens += bucket.available();
    }
    return tokens;
}

account& node_quota::find_or_create(shard& part, const organisation& limits, time_point now)
{
    const auto place = part.accounts.find(limits.id);
    if (place != part.accounts.end()) {
        place->second.set_limits(limits);
        return place->second;
    }
    return part.accounts.try_emplace(limits.id, limits, this->idle_tokens(limits, now), now)
        .first->second;
}

admission node_quota::decide_fenced(time_point now)
{
    // A node that was paused finds its fence closed. Its witnesses usually reply within a round
    // trip, so requests wait briefly instead of being refused.
    std::int64_t since = 0;
    if (this->fence_closed_since.compare_exchange_strong(since, to_ticks(now))) {
        since = to_ticks(now);
    }
    this->urgent.store(true, std::memory_order_release);
    return to_ticks(now) - since < duration{fence_grace}.count() ? admission::wait
                                                                 : admission::unproved;
}

admission node_quota::decide(shard& part, account& entry, const organisation& limits,
                             time_point now)
{
    const bool fenced = to_ticks(now) >= this->fence_deadline.load(std::memory_order_acquire);
    if (part.units > 0 && fenced) {
        return this->decide_fenced(now);
    }
    const bool taken = entry.try_consume(part.units, now);
    const bool low = !taken || entry.tokens() < 1;
    if (low && !entry.is_listed_short && (!taken || entry.missing_units(part.units, now) > 0)) {
        entry.is_listed_short = true;
        part.short_of_tokens.push_back(limits.id);
    }
    if (taken) {
        return admission::admitted;
    }
    if (this->consecutive_timeouts.load(std::memory_order_acquire) >= max_consecutive_timeouts) {
        // Counted as waiting, so that further loan requests are sent. A reply to one of them shows
        // that peers can be reached again.
        ++entry.waiting_requests;
        return admission::unproved;
    }
    if (now < entry.backoff_until || this->stopping.load(std::memory_order_acquire)) {
        return part.units > 0 || entry.has_borrowed() ? admission::over_rate : admission::unproved;
    }
    ++entry.waiting_requests;
    this->urgent.store(true, std::memory_order_release);
    return admission::wait;
}

admission node_quota::admit(const organisation& limits, time_point now)
{
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    account& entry = this->find_or_create(part, limits, now);
    entry.record_demand(now);
    return this->decide(part, entry, limits, now);
}

admission node_quota::retry(const organisation& limits, time_point now)
{
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    return this->decide(part, this->find_or_create(part, limits, now), limits, now);
}

admission node_quota::last_try(const organisation& limits, time_point now)
{
    const admission result = this->retry(limits, now);
    if (result != admission::wait) {
        return result;
    }
    const bool fenced = to_ticks(now) >= this->fence_deadline.load(std::memory_order_acquire);
    return fenced || this->units() == 0 ? admission::unproved : admission::over_rate;
}

void node_quota::set_fence(time_point deadline)
{
    const std::int64_t before =
        this->fence_deadline.exchange(to_ticks(deadline), std::memory_order_acq_rel);
    if (to_ticks(deadline) > before) {
        this->fence_closed_since.store(0, std::memory_order_release);
    }
}

void node_quota::update_unit_gains(std::int64_t before, std::int64_t after, time_point now)
{
    const std::lock_guard hold(this->unit_gains_lock);
    if (after > before) {
        this->unit_gains.push_back({now, after - before});
    }
    // Removes the newest units first, which have the fewest tokens, so that the remaining units
    // hold no more tokens than before.
    for (std::int64_t excess = before - after; excess > 0 && !this->unit_gains.empty();) {
        unit_gain& newest = this->unit_gains.back();
        const std::int64_t removed = std::min(excess, newest.units);
        newest.units -= removed;
        excess -= removed;
        if (newest.units == 0) {
            this->unit_gains.pop_back();
        }
    }
    if (this->unit_gains.size() > max_unit_gains) {
        this->unit_gains[1].units += this->unit_gains[0].units;
        this->unit_gains.erase(this->unit_gains.begin());
    }
}

void node_quota::set_units(std::int64_t units, time_point now)
{
    const std::int64_t before = this->own_units.load(std::memory_order_acquire);
    if (before == units) {
        return;
    }
    this->update_unit_gains(before, units, now);
    for (shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        for (auto& [name, entry] : part.accounts) {
            entry.advance(part.units, now);
            entry.advance(units, now);
        }
        part.units = units;
    }
    this->own_units.store(units, std::memory_order_release);
}

void node_quota::reset(const seat_key& next_key, time_point now)
{
    this->set_units(0, now);
    for (shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        part.accounts.clear();
        part.short_of_tokens.clear();
        part.borrowers.clear();
        part.lenders.clear();
    }
    {
        const std::lock_guard hold(this->unit_gains_lock);
        this->unit_gains.clear();
    }
    const std::lock_guard hold(this->pending_lock);
    this->pending.clear();
    this->self = next_key;
}

bool node_quota::any_lent(time_point now, bool beyond_units)
{
    bool found = false;
    for (shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        std::erase_if(part.lenders, [&](const organisation_id& name) {
            const auto place = part.accounts.find(name);
            if (place == part.accounts.end()) {
                return true;
            }
            place->second.advance(part.units, now);
            const std::int64_t lent = place->second.lent_units();
            found = found || lent > (beyond_units ? part.units : 0);
            return lent == 0;
        });
    }
    return found;
}

bool node_quota::is_overdrawn(time_point now)
{
    return this->any_lent(now, true);
}

bool node_quota::has_lent(time_point now)
{
    return this->any_lent(now, false);
}

void node_quota::stop_lending()
{
    this->stopping.store(true, std::memory_order_release);
}

borrow_reply node_quota::lend(const borrow_request& request, const organisation& limits,
                              time_point now)
{
    const bool fenced = to_ticks(now) >= this->fence_deadline.load(std::memory_order_acquire);
    if (fenced || this->stopping.load(std::memory_order_acquire) ||
        request.borrower == this->self) {
        return {request.id, 0, 0, {}, {}, 0};
    }
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    if (part.units == 0) {
        return {request.id, 0, 0, {}, {}, 0};
    }
    account& entry = this->find_or_create(part, limits, now);
    borrow_reply reply = entry.lend(request, this->self, part.units, now);
    if (reply.units > 0) {
        add_unique(part.lenders, limits.id);
    }
    return reply;
}

void node_quota::accept_loan_return(const loan_return& message, time_point now)
{
    shard& part = this->shard_of(message.organisation);
    const std::lock_guard hold(part.lock);
    const auto place = part.accounts.find(message.organisation);
    if (place != part.accounts.end()) {
        place->second.accept_return(message, part.units, now);
    }
}

std::optional<node_quota::pending_request> node_quota::remove_pending(std::uint64_t id)
{
    const std::lock_guard hold(this->pending_lock);
    const auto place = this->pending.find(id);
    if (place == this->pending.end()) {
        return std::nullopt;
    }
    pending_request request = std::move(place->second);
    this->pending.erase(place);
    return request;
}

bool node_quota::accept_loan(const borrow_reply& reply, time_point now)
{
    this->consecutive_timeouts.store(0, std::memory_order_release);
    const auto request = this->remove_pending(reply.id);
    if (!request) {
        return false;
    }
    const time_point ends = request->sent + std::min(reply.lasts, loan_time);
    const bool granted = reply.units > 0 && ends > now && reply.units <= request->units;
    if (granted) {
        shard& part = this->shard_of(request->name);
        const std::lock_guard hold(part.lock);
        const auto place = part.accounts.find(request->name);
        if (place == part.accounts.end()) {
            return false;
        }
        if (request->extends != 0) {
            place->second.extend_loan(request->extends, reply, part.units, ends, now);
        }
        else {
            place->second.add_loan(reply, part.units, ends, now);
            add_unique(part.borrowers, request->name);
        }
    }
    if (request->extends == 0 && !request->timed_out) {
        this->finish_request(request->name, granted, now);
    }
    return granted;
}

void node_quota::record_loan_failure(std::uint64_t request_id, time_point now)
{
    const auto request = this->remove_pending(request_id);
    if (request && request->extends == 0 && !request->timed_out) {
        this->finish_request(request->name, false, now);
    }
}

void node_quota::evict(time_point now)
{
    shard& part = this->shards[this->next_eviction++ % shard_count];
    const std::lock_guard hold(part.lock);
    for (auto place = part.accounts.begin(); place != part.accounts.end();) {
        place =
            place->second.is_idle(part.units, now) ? part.accounts.erase(place) : std::next(place);
    }
}

std::size_t node_quota::accounts() const
{
    std::size_t count = 0;
    for (const shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        count += part.accounts.size();
    }
    return count;
}

std::size_t node_quota::memory() const
{
    // A hash node holds the pair, its hash and the next pointer; malloc adds 16 bytes.
    constexpr std::size_t node_overhead = 32;
    std::size_t bytes = sizeof(node_quota);
    for (const shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        bytes += part.accounts.bucket_count() * sizeof(void*);
        for (const auto& [name, entry] : part.accounts) {
            bytes += sizeof(organisation_id) + node_overhead + entry.memory();
            bytes += name.value.capacity() > std::string{}.capacity() ? name.value.capacity() : 0;
        }
    }
    return bytes;
}

node_quota::view node_quota::inspect(const organisation& limits, time_point now)
{
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    const auto place = part.accounts.find(limits.id);
    if (place == part.accounts.end()) {
        return {this->idle_tokens(limits, now), part.units, 0, 0};
    }
    account& entry = place->second;
    entry.advance(part.units, now);
    return {entry.tokens(), entry.net_units(part.units), entry.lent_units(), entry.demand_at(now)};
}

} // namespace dragonflyroad
