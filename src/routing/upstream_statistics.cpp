#include "routing/upstream_statistics.hpp"

namespace dragonflyroad {
namespace {

// 0 marks a free entry, so a start at the epoch is stored as 1 ns.
std::int64_t to_stored(time_point time)
{
    const std::int64_t ns = time.time_since_epoch().count();
    return ns == 0 ? 1 : ns;
}

std::uint64_t to_bit(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash & 63U);
}

bool is_failure(outcome_kind outcome)
{
    return outcome == outcome_kind::server_error || outcome == outcome_kind::connect_failed ||
           outcome == outcome_kind::broken || outcome == outcome_kind::timed_out;
}

} // namespace

upstream_statistics::upstream_statistics(std::uint32_t max_tracked) : tracked_requests(max_tracked)
{
}

std::uint32_t upstream_statistics::begin(const request_attributes& mark, time_point now)
{
    const auto size = static_cast<std::uint32_t>(this->tracked_requests.size());
    const std::uint32_t first = this->next_index.fetch_add(1, relaxed);
    for (std::uint32_t step = 0; step < size; ++step) {
        const std::uint32_t index = (first + step) % size;
        tracked_request& state = this->tracked_requests[index];
        std::int64_t free = 0;
        if (state.began_ns.load(relaxed) == 0 &&
            state.began_ns.compare_exchange_strong(free, to_stored(now),
                                                   std::memory_order_acquire)) {
            state.fingerprint.store(mark.fingerprint, relaxed);
            state.organisation.store(mark.organisation, relaxed);
            state.reused.store(mark.reused_connection, relaxed);
            state.answered.store(false, std::memory_order_release);
            return index;
        }
    }
    return untracked;
}

void upstream_statistics::first_byte(std::uint32_t index)
{
    if (index != untracked) {
        this->tracked_requests[index].answered.store(true, std::memory_order_release);
    }
}

void upstream_statistics::record_good(time_point began, duration latency)
{
    this->fast.fetch_add(1, relaxed);
    std::int64_t last = this->last_good_start_ns.load(relaxed);
    const std::int64_t start = to_stored(began);
    while (last < start && !this->last_good_start_ns.compare_exchange_weak(last, start, relaxed)) {
    }
    static_cast<void>(latency);
}

void upstream_statistics::record_bad(const request_attributes& mark)
{
    this->bad_fingerprints.fetch_or(to_bit(mark.fingerprint), relaxed);
    this->bad_organisations.fetch_or(to_bit(mark.organisation), relaxed);
}

void upstream_statistics::finish(std::uint32_t index, const request_attributes& mark,
                                 time_point began, duration latency, outcome_kind outcome,
                                 duration slow_above)
{
    if (index != untracked) {
        this->tracked_requests[index].began_ns.store(0, std::memory_order_release);
    }
    const bool is_slow = slow_above > duration::zero() && latency > slow_above;
    if (is_failure(outcome)) {
        auto& counter = mark.reused_connection && outcome != outcome_kind::server_error
                            ? this->failed_reused
                            : this->failed;
        counter.fetch_add(1, relaxed);
        this->record_bad(mark);
    }
    else if (outcome == outcome_kind::success) {
        this->latencies[to_latency_bin(latency)].fetch_add(1, relaxed);
        // Updates lost between threads only make the average follow a little more slowly.
        const std::int64_t smoothed = this->smoothed_ns.load(relaxed);
        this->smoothed_ns.store(
            smoothed == 0 ? latency.count() : smoothed + (latency.count() - smoothed) / 8, relaxed);
        if (!is_slow) {
            this->record_good(began, latency);
        }
    }
    if (is_slow && (outcome == outcome_kind::success || outcome == outcome_kind::cancelled)) {
        this->slow.fetch_add(1, relaxed);
        this->record_bad(mark);
    }
    if (outcome == outcome_kind::shed) {
        this->shed.fetch_add(1, relaxed);
    }
    this->all_organisations.fetch_or(to_bit(mark.organisation), relaxed);
}

outcome_counts upstream_statistics::collect_and_reset()
{
    outcome_counts counts;
    counts.fast = this->fast.exchange(0, relaxed);
    counts.slow = this->slow.exchange(0, relaxed);
    counts.failed = this->failed.exchange(0, relaxed);
    counts.failed_reused = this->failed_reused.exchange(0, relaxed);
    counts.shed = this->shed.exchange(0, relaxed);
    counts.bad_fingerprints = this->bad_fingerprints.exchange(0, relaxed);
    counts.bad_organisations = this->bad_organisations.exchange(0, relaxed);
    counts.all_organisations = this->all_organisations.exchange(0, relaxed);
    for (std::size_t bin = 0; bin < latency_bins; ++bin) {
        if (this->latencies[bin].load(relaxed) != 0) {
            counts.latencies[bin] = this->latencies[bin].exchange(0, relaxed);
        }
    }
    return counts;
}

void upstream_statistics::collect_unanswered(std::vector<unanswered_request>& requests) const
{
    requests.clear();
    for (const tracked_request& state : this->tracked_requests) {
        const std::int64_t began = state.began_ns.load(std::memory_order_acquire);
        if (began != 0 && !state.answered.load(std::memory_order_acquire)) {
            requests.push_back({time_point{duration{began}},
                                {state.fingerprint.load(relaxed), state.organisation.load(relaxed),
                                 state.reused.load(relaxed)}});
        }
    }
}

void upstream_statistics::decay_smoothed_latency(duration usual)
{
    constexpr std::int64_t steps = 16;
    const std::int64_t smoothed = this->smoothed_ns.load(relaxed);
    if (smoothed > usual.count() && usual > duration::zero()) {
        this->smoothed_ns.store(smoothed - (smoothed - usual.count()) / steps, relaxed);
    }
}

time_point upstream_statistics::last_good_start() const
{
    return time_point{duration{this->last_good_start_ns.load(relaxed)}};
}

} // namespace dragonflyroad
