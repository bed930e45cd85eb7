#include "dispatch/service_rejections.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace dragonflyroad {
namespace {

/// Window of the outcomes that count. A node sends a service about six requests per second, so the
/// window holds a dozen.
constexpr std::chrono::milliseconds outcome_window{2'000};

/// Outcomes kept per service, which bounds the cost of a decision.
constexpr std::size_t max_outcomes = 32;

/// Evidence for a service as a whole: outcomes in the window, upstreams that rejected, and the
/// share rejected. Upstreams that fail by themselves are a tenth of a service; if each of them
/// rejected all of its requests, the share would be a tenth.
constexpr std::size_t min_outcomes = 4;
constexpr std::size_t min_rejecting_vms = 3;
constexpr double min_rejected_share = 0.25;

} // namespace

void service_rejections::record(const service_name& service, const node_id& vm, bool is_rejected,
                                time_point now)
{
    auto& recent = this->outcomes[service];
    recent.push_back({vm, is_rejected, now});
    while (recent.size() > max_outcomes || recent.front().at + outcome_window < now) {
        recent.pop_front();
    }
}

double service_rejections::rejected_share(const service_name& service, time_point now) const
{
    const auto found = this->outcomes.find(service);
    if (found == this->outcomes.end()) {
        return 0;
    }
    std::size_t recent = 0;
    std::size_t rejected = 0;
    for (const outcome& known : found->second) {
        if (known.at + outcome_window >= now) {
            ++recent;
            rejected += known.is_rejected ? 1 : 0;
        }
    }
    return recent < min_outcomes ? 0 : static_cast<double>(rejected) / static_cast<double>(recent);
}

bool service_rejections::is_service_wide(const service_name& service, time_point now) const
{
    if (this->rejected_share(service, now) < min_rejected_share) {
        return false;
    }
    std::array<const node_id*, min_rejecting_vms> rejecting{};
    std::size_t count = 0;
    for (const outcome& known : this->outcomes.at(service)) {
        const bool is_known = std::any_of(rejecting.begin(), rejecting.begin() + count,
                                          [&](const node_id* vm) { return *vm == known.vm; });
        if (known.is_rejected && known.at + outcome_window >= now && !is_known) {
            rejecting[count++] = &known.vm;
        }
        if (count == min_rejecting_vms) {
            return true;
        }
    }
    return false;
}

} // namespace dragonflyroad
