#include "node/simple_gates.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

std::string text_of(const claim_key& key)
{
    return key.organisation.value + '\n' + key.service.value + '\n' + key.key;
}

} // namespace

rate_verdict local_rates::admit(const organisation& limits, time_point)
{
    const time_point now = boot_clock::now();
    const std::scoped_lock lock{this->mutex};
    auto [found, is_new] = this->buckets.try_emplace(limits.id, bucket{limits.burst, now});
    bucket& tokens = found->second;
    const double elapsed = std::chrono::duration<double>(now - tokens.filled).count();
    tokens.tokens = std::min(limits.burst, tokens.tokens + elapsed * limits.rate);
    tokens.filled = now;
    if (tokens.tokens < 1) {
        return rate_verdict::over_rate;
    }
    tokens.tokens -= 1;
    return rate_verdict::admitted;
}

claim_verdict local_claims::claim(const claim_key& key, std::chrono::milliseconds, time_point)
{
    const std::scoped_lock lock{this->mutex};
    const auto [found, is_new] = this->claims.try_emplace(text_of(key), claim_verdict::in_progress);
    return is_new ? claim_verdict::granted : found->second;
}

void local_claims::complete(const claim_key& key, ran executed)
{
    const std::scoped_lock lock{this->mutex};
    if (executed == ran::no) {
        this->claims.erase(text_of(key));
        return;
    }
    this->claims[text_of(key)] =
        executed == ran::yes ? claim_verdict::done : claim_verdict::unknown;
}

void local_upstreams::set_upstreams(const std::vector<announced_upstream>& announced)
{
    const std::scoped_lock lock{this->mutex};
    for (auto& [id, known] : this->entries) {
        known.announced.draining = true;
    }
    for (const announced_upstream& upstream : announced) {
        this->entries[upstream.id].announced = upstream;
    }
    std::erase_if(this->entries, [](const auto& item) {
        return item.second.announced.draining && item.second.in_flight == 0;
    });
    this->freed.notify_all();
}

local_upstreams::entry* local_upstreams::choose(const place_request& request, bool& any_usable)
{
    entry* best = nullptr;
    for (auto& [id, candidate] : this->entries) {
        const bool is_excluded = std::ranges::find(request.excluded, id) != request.excluded.end();
        if (candidate.announced.service != request.service || candidate.announced.draining ||
            is_excluded) {
            continue;
        }
        any_usable = true;
        if (candidate.in_flight < candidate.announced.slots &&
            (best == nullptr || candidate.in_flight < best->in_flight)) {
            best = &candidate;
        }
    }
    return best;
}

std::optional<upstream_place> local_upstreams::acquire(const place_request& request,
                                                       refusal_reason& why)
{
    std::unique_lock lock{this->mutex};
    while (true) {
        bool any_usable = false;
        if (entry* chosen = this->choose(request, any_usable)) {
            ++chosen->in_flight;
            return upstream_place{chosen->announced.id, false, nullptr};
        }
        const time_point now = boot_clock::now();
        if (!any_usable || now >= request.deadline) {
            why = any_usable ? refusal_reason::queue_timeout : refusal_reason::no_healthy_upstream;
            return std::nullopt;
        }
        this->freed.wait_for(lock, request.deadline - now);
    }
}

void local_upstreams::finish(const upstream_place& place, attempt_outcome, bool)
{
    const std::scoped_lock lock{this->mutex};
    if (const auto found = this->entries.find(place.upstream); found != this->entries.end()) {
        --found->second.in_flight;
    }
    this->freed.notify_all();
}

} // namespace dragonflyroad
