#include "routing/upstream_set.hpp"

#include "core/failure.hpp"
#include "routing/concurrency_limit.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();
constexpr auto relaxed = std::memory_order_relaxed;

// Number of requests in flight whose age is tracked; further ones are sent, but not tracked. Twice
// the largest concurrency limit, so that the announced slots can double without a new table, but 16
// to 512, which bounds the memory of an upstream.
std::uint32_t tracking_capacity(std::uint32_t slots)
{
    return std::clamp<std::uint32_t>(2 * max_concurrency_limit(slots), 16, 512);
}

std::shared_ptr<upstream_entry> find(const service_view& view, const upstream_id& upstream)
{
    const auto found = std::find_if(view.upstreams.begin(), view.upstreams.end(),
                                    [&](const auto& entry) { return entry->id == upstream; });
    return found == view.upstreams.end() ? nullptr : *found;
}

void update(upstream_entry& entry, const upstream_announcement& announcement, time_point now)
{
    if (announcement.state == upstream_state::ready &&
        entry.state.load() != upstream_state::ready) {
        entry.cold_since_ns.store(now.time_since_epoch().count());
        entry.slow_start_since_ns.store(now.time_since_epoch().count());
    }
    if (entry.slots.exchange(announcement.slots) != announcement.slots) {
        entry.limit.store(max_concurrency_limit(announcement.slots));
    }
    entry.state.store(announcement.state);
}

// Adds a request in flight unless there are already `limit`; retries only when another thread
// changed the count in between.
bool acquire_permit(upstream_entry& entry, std::uint32_t limit)
{
    std::uint32_t count = entry.in_flight.load(relaxed);
    do {
        if (count >= limit) {
            return false;
        }
    } while (!entry.in_flight.compare_exchange_weak(count, count + 1, relaxed));
    if (entry.in_flight_peak.load(relaxed) < count + 1) {
        entry.in_flight_peak.store(count + 1, relaxed);
    }
    return true;
}

// Pause between the probes of a probation. A faulty upstream then costs at most a few requests per
// probation, and a healthy one can pass within a second.
constexpr std::chrono::milliseconds probe_pause{100};

bool acquire_probe(upstream_entry& entry, time_point now)
{
    std::int64_t next = entry.next_probe_ns.load();
    const std::int64_t now_ns = now.time_since_epoch().count();
    return now_ns >= next && entry.next_probe_ns.compare_exchange_strong(
                                 next, now_ns + duration{probe_pause}.count());
}

} // namespace

upstream_entry::upstream_entry(const upstream_announcement& announcement,
                               std::shared_ptr<service_reference> service_reference, time_point now)
    : id(announcement.upstream),
      service(announcement.service),
      reference(std::move(service_reference)),
      slots(announcement.slots),
      state(announcement.state),
      cold_since_ns((now - announcement.age).time_since_epoch().count()),
      slow_start_since_ns((now - announcement.age).time_since_epoch().count()),
      limit(max_concurrency_limit(announcement.slots)),
      statistics(tracking_capacity(announcement.slots))
{
}

void upstream_set::apply(const upstream_announcement& announcement, time_point now)
{
    const auto current = this->view(announcement.service);
    if (current) {
        if (const auto entry = find(*current, announcement.upstream)) {
            update(*entry, announcement, now);
            return;
        }
    }
    if (announcement.state == upstream_state::expired) {
        return;
    }
    service_view next;
    if (current) {
        next = *current;
    }
    else {
        next.reference = std::make_shared<service_reference>();
    }
    next.upstreams.push_back(std::make_shared<upstream_entry>(announcement, next.reference, now));
    view_map map = *this->services.read();
    map[announcement.service] = std::make_shared<const service_view>(std::move(next));
    this->services.publish(std::move(map));
}

bool upstream_set::remove(const service_name& service, const upstream_id& upstream)
{
    const auto current = this->view(service);
    const auto entry = current ? find(*current, upstream) : nullptr;
    if (!entry || entry->state.load() == upstream_state::ready || entry->in_flight.load() != 0) {
        return false;
    }
    service_view next = *current;
    std::erase(next.upstreams, entry);
    view_map map = *this->services.read();
    map[service] = std::make_shared<const service_view>(std::move(next));
    this->services.publish(std::move(map));
    return true;
}

std::shared_ptr<const service_view> upstream_set::view(const service_name& service) const
{
    const auto map = this->services.read();
    const auto found = map->find(service);
    return found == map->end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const service_view>> upstream_set::views() const
{
    const auto map = this->services.read();
    std::vector<std::shared_ptr<const service_view>> all;
    all.reserve(map->size());
    for (const auto& [name, view] : *map) {
        all.push_back(view);
    }
    return all;
}

std::optional<exchange> upstream_set::begin(const service_name& service,
                                            const upstream_id& upstream,
                                            const request_attributes& mark, time_point now) const
{
    const auto current = this->view(service);
    const auto entry = current ? find(*current, upstream) : nullptr;
    if (!entry) {
        return fail("begin", upstream.value, "the upstream is not announced");
    }
    return begin(entry, mark, now);
}

std::optional<exchange> upstream_set::begin(const std::shared_ptr<upstream_entry>& upstream,
                                            const request_attributes& mark, time_point now)
{
    const ejection_step step = upstream->step.load(relaxed);
    if (upstream->state.load(relaxed) != upstream_state::ready || step == ejection_step::ejected) {
        return fail("begin", upstream->id.value, "the upstream is draining, expired or ejected");
    }
    const bool is_probe = step == ejection_step::probation;
    // Requests that have hung since before the ejection must not block probes, so probes are
    // limited only by the pause between them.
    const bool is_verification =
        mark.is_repeatable && upstream->requested_verifications.load(relaxed) > 0;
    const std::uint32_t limit = is_probe ? no_limit
                                : is_verification
                                    ? max_concurrency_limit(upstream->slots.load(relaxed))
                                    : upstream->limit.load(relaxed);
    if (!acquire_permit(*upstream, limit)) {
        return fail("begin", upstream->id.value, "the upstream is at its concurrency limit");
    }
    if (is_probe && !acquire_probe(*upstream, now)) {
        upstream->in_flight.fetch_sub(1, relaxed);
        return fail("begin", upstream->id.value,
                    "the upstream is in probation and its next probe is not due");
    }
    if (is_verification) {
        upstream->requested_verifications.fetch_sub(1, relaxed);
    }
    return exchange{upstream, upstream->statistics.begin(mark, now), mark, now, std::nullopt};
}

void upstream_set::first_byte(exchange& running, time_point now)
{
    running.answered = now;
    running.upstream->statistics.first_byte(running.tracking_index);
}

void upstream_set::finish(const exchange& running, outcome_kind outcome, time_point now)
{
    upstream_entry& upstream = *running.upstream;
    const duration latency = running.answered.value_or(now) - running.began;
    if (running.began < upstream.evidence_since()) {
        upstream.statistics.finish(running.tracking_index, running.mark, running.began, latency,
                                   outcome_kind::cancelled, duration::zero());
    }
    else {
        upstream.statistics.finish(running.tracking_index, running.mark, running.began, latency,
                                   outcome, upstream.reference->slow_above());
    }
    upstream.in_flight.fetch_sub(1, relaxed);
}

} // namespace dragonflyroad
