#include "limits/rights.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t most_layers = 8;
/// After this many loan requests in a row without a reply the node takes itself to be cut off. Its
/// clients waited for loans that could not come while other nodes had tokens.
constexpr std::uint32_t unanswered_limit = 6;
/// How long after the fence was found closed requests wait for evidence.
constexpr std::chrono::milliseconds proof_grace{250};

std::int64_t to_count(time_point time)
{
    return time.time_since_epoch().count();
}

void list_once(std::vector<organisation_id>& names, const organisation_id& name)
{
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

} // namespace

rights::rights(seat_key own_key) : self(std::move(own_key)) {}

rights::shard& rights::shard_of(const organisation_id& name)
{
    return this->shards[std::hash<organisation_id>{}(name) % shard_count];
}

double rights::idle_tokens(const organisation& limits, time_point now) const
{
    const std::lock_guard hold(this->layers_lock);
    double tokens = 0;
    for (const layer& entry : this->layers) {
        const double share = static_cast<double>(entry.units) / static_cast<double>(total_units);
        token_bucket bucket(0, entry.since);
        bucket.refill(limits.rate * share, limits.burst * share, now);
        tokens += bucket.available();
    }
    return tokens;
}

account& rights::find_or_make(shard& part, const organisation& limits, time_point now)
{
    const auto place = part.accounts.find(limits.id);
    if (place != part.accounts.end()) {
        place->second.set_limits(limits);
        return place->second;
    }
    return part.accounts.try_emplace(limits.id, limits, this->idle_tokens(limits, now), now)
        .first->second;
}

admission rights::decide_unproved(time_point now)
{
    // A node that was paused finds its fence closed; its witnesses usually answer within a round
    // trip, so requests are held back for a moment rather than refused.
    std::int64_t since = 0;
    if (this->closed_since.compare_exchange_strong(since, to_count(now))) {
        since = to_count(now);
    }
    this->urgent.store(true, std::memory_order_release);
    return to_count(now) - since < duration{proof_grace}.count() ? admission::wait
                                                                 : admission::unproved;
}

admission rights::decide(shard& part, account& entry, const organisation& limits, time_point now)
{
    const bool fenced = to_count(now) >= this->fence_deadline.load(std::memory_order_acquire);
    if (part.units > 0 && fenced) {
        return this->decide_unproved(now);
    }
    const bool taken = entry.take(part.units, now);
    const bool low = !taken || entry.tokens() < 1;
    if (low && !entry.listed && (!taken || entry.missing_units(part.units, now) > 0)) {
        entry.listed = true;
        part.short_of_tokens.push_back(limits.id);
    }
    if (taken) {
        return admission::admitted;
    }
    if (this->unanswered.load(std::memory_order_acquire) >= unanswered_limit) {
        // Counted as waiting so that the next round of requests finds out when peers answer again.
        ++entry.waiting;
        return admission::unproved;
    }
    if (now < entry.no_help_until || this->stopping.load(std::memory_order_acquire)) {
        return part.units > 0 || entry.has_borrowed() ? admission::over_rate : admission::unproved;
    }
    ++entry.waiting;
    this->urgent.store(true, std::memory_order_release);
    return admission::wait;
}

admission rights::admit(const organisation& limits, time_point now)
{
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    account& entry = this->find_or_make(part, limits, now);
    entry.note_demand(now);
    return this->decide(part, entry, limits, now);
}

admission rights::retry(const organisation& limits, time_point now)
{
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    return this->decide(part, this->find_or_make(part, limits, now), limits, now);
}

admission rights::last_try(const organisation& limits, time_point now)
{
    const admission result = this->retry(limits, now);
    if (result != admission::wait) {
        return result;
    }
    const bool fenced = to_count(now) >= this->fence_deadline.load(std::memory_order_acquire);
    return fenced || this->units() == 0 ? admission::unproved : admission::over_rate;
}

void rights::set_fence(time_point deadline)
{
    const std::int64_t before =
        this->fence_deadline.exchange(to_count(deadline), std::memory_order_acq_rel);
    if (to_count(deadline) > before) {
        this->closed_since.store(0, std::memory_order_release);
    }
}

void rights::change_layers(std::int64_t before, std::int64_t after, time_point now)
{
    const std::lock_guard hold(this->layers_lock);
    if (after > before) {
        this->layers.push_back({now, after - before});
    }
    // The newest units have the fewest tokens, and the older ones that stay hold no more than they
    // did before.
    for (std::int64_t excess = before - after; excess > 0 && !this->layers.empty();) {
        layer& newest = this->layers.back();
        const std::int64_t removed = std::min(excess, newest.units);
        newest.units -= removed;
        excess -= removed;
        if (newest.units == 0) {
            this->layers.pop_back();
        }
    }
    if (this->layers.size() > most_layers) {
        this->layers[1].units += this->layers[0].units;
        this->layers.erase(this->layers.begin());
    }
}

void rights::set_units(std::int64_t units, time_point now)
{
    const std::int64_t before = this->own.load(std::memory_order_acquire);
    if (before == units) {
        return;
    }
    this->change_layers(before, units, now);
    for (shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        for (auto& [name, entry] : part.accounts) {
            entry.advance(part.units, now);
            entry.advance(units, now);
        }
        part.units = units;
    }
    this->own.store(units, std::memory_order_release);
}

void rights::reset(const seat_key& next_key, time_point now)
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
        const std::lock_guard hold(this->layers_lock);
        this->layers.clear();
    }
    const std::lock_guard hold(this->pending_lock);
    this->pending.clear();
    this->self = next_key;
}

bool rights::any_lent(time_point now, bool beyond_units)
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

bool rights::is_overdrawn(time_point now)
{
    return this->any_lent(now, true);
}

bool rights::has_lent(time_point now)
{
    return this->any_lent(now, false);
}

void rights::stop_lending()
{
    this->stopping.store(true, std::memory_order_release);
}

borrow_reply rights::lend(const borrow_request& request, const organisation& limits, time_point now)
{
    const bool fenced = to_count(now) >= this->fence_deadline.load(std::memory_order_acquire);
    if (fenced || this->stopping.load(std::memory_order_acquire) ||
        request.borrower == this->self) {
        return {request.id, 0, 0, {}, {}, 0};
    }
    shard& part = this->shard_of(limits.id);
    const std::lock_guard hold(part.lock);
    if (part.units == 0) {
        return {request.id, 0, 0, {}, {}, 0};
    }
    account& entry = this->find_or_make(part, limits, now);
    borrow_reply reply = entry.lend(request, this->self, part.units, now);
    if (reply.units > 0) {
        list_once(part.lenders, limits.id);
    }
    return reply;
}

void rights::take_back(const loan_return& message, time_point now)
{
    shard& part = this->shard_of(message.organisation);
    const std::lock_guard hold(part.lock);
    const auto place = part.accounts.find(message.organisation);
    if (place != part.accounts.end()) {
        place->second.take_back(message, part.units, now);
    }
}

std::optional<rights::pending_request> rights::take_pending(std::uint64_t id)
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

bool rights::borrow(const borrow_reply& reply, time_point now)
{
    this->unanswered.store(0, std::memory_order_release);
    const auto request = this->take_pending(reply.id);
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
            list_once(part.borrowers, request->name);
        }
    }
    if (request->extends == 0 && !request->timed_out) {
        this->end_request(request->name, granted, now);
    }
    return granted;
}

void rights::give_up(std::uint64_t request_id, time_point now)
{
    const auto request = this->take_pending(request_id);
    if (request && request->extends == 0 && !request->timed_out) {
        this->end_request(request->name, false, now);
    }
}

void rights::evict(time_point now)
{
    shard& part = this->shards[this->next_eviction++ % shard_count];
    const std::lock_guard hold(part.lock);
    for (auto place = part.accounts.begin(); place != part.accounts.end();) {
        place =
            place->second.is_idle(part.units, now) ? part.accounts.erase(place) : std::next(place);
    }
}

std::size_t rights::accounts() const
{
    std::size_t count = 0;
    for (const shard& part : this->shards) {
        const std::lock_guard hold(part.lock);
        count += part.accounts.size();
    }
    return count;
}

std::size_t rights::memory() const
{
    // A hash node holds the pair, its hash and the next pointer; malloc adds 16 bytes.
    constexpr std::size_t node_overhead = 32;
    std::size_t bytes = sizeof(rights);
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

rights::view rights::look(const organisation& limits, time_point now)
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
