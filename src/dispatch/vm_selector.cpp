#include "dispatch/vm_selector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::milliseconds cost_half_life{700};

/// How long a VM counts as unreachable after a failed connection. The time doubles with each
/// further failure up to the limit, so that VMs which are gone cost few reservations until their
/// entries expire.
constexpr std::chrono::milliseconds unreachable_time{1'500};
constexpr int max_doublings = 2;

/// Costs in milliseconds that order the candidates. Traffic between data centres is billed and
/// takes a few milliseconds more; `max_random_cost` and `own_vm_bonus` only break ties between VMs
/// with similar costs.
constexpr double unreachable_cost = 100'000;
constexpr double other_centre_cost = 8;
constexpr double max_random_cost = 6;
constexpr double own_vm_bonus = 1;

/// Bytes that the link of a small VM (11 Mbit/s) transfers in a millisecond. The cost of a response
/// from another data centre includes the time for which it occupies such a link.
constexpr double bytes_per_millisecond = 1'375;

} // namespace

void vm_selector::record_cost(const node_id& vm, std::chrono::milliseconds cost, time_point now)
{
    vm_observation& observed = this->observations[vm];
    observed.cost = cost;
    observed.cost_at = now;
}

void vm_selector::record_unreachable(const node_id& vm, time_point now)
{
    vm_observation& observed = this->observations[vm];
    observed.unreachable_until = now + unreachable_time * (1 << observed.failures);
    observed.failures = std::min(observed.failures + 1, max_doublings);
}

void vm_selector::record_reachable(const node_id& vm)
{
    vm_observation& observed = this->observations[vm];
    observed.unreachable_until = {};
    observed.failures = 0;
}

bool vm_selector::is_unreachable(const node_id& vm, time_point now) const
{
    const auto found = this->observations.find(vm);
    return found != this->observations.end() && now < found->second.unreachable_until;
}

double vm_selector::score(const vm_candidate& candidate, double response_size,
                          random_engine& random, time_point now) const
{
    double cost = uniform(random) * max_random_cost;
    cost +=
        candidate.is_same_centre ? 0 : other_centre_cost + response_size / bytes_per_millisecond;
    cost -= candidate.is_local_vm ? own_vm_bonus : 0;
    const auto found = this->observations.find(candidate.vm);
    if (found == this->observations.end()) {
        return cost;
    }
    const vm_observation& observed = found->second;
    const std::chrono::duration<double> age = now - observed.cost_at;
    const std::chrono::duration<double> half_life = cost_half_life;
    cost +=
        static_cast<double>(observed.cost.count()) * std::exp2(-age.count() / half_life.count());
    return cost + (now < observed.unreachable_until ? unreachable_cost : 0);
}

std::vector<node_id> vm_selector::choose(std::vector<vm_candidate> candidates, std::size_t count,
                                         double response_size, random_engine& random,
                                         time_point now) const
{
    std::vector<std::pair<double, node_id>> scored;
    scored.reserve(candidates.size());
    for (vm_candidate& candidate : candidates) {
        const double cost = this->score(candidate, response_size, random, now);
        scored.emplace_back(cost, std::move(candidate.vm));
    }
    const std::size_t kept = std::min(count, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(kept));
    std::vector<node_id> chosen;
    for (std::size_t index = 0; index < kept; ++index) {
        chosen.push_back(std::move(scored[index].second));
    }
    return chosen;
}

std::optional<reservation_reply> cheapest_offer(const std::vector<reservation_reply>& replies)
{
    std::optional<reservation_reply> cheapest;
    for (const reservation_reply& reply : replies) {
        if (reply.is_offer && (!cheapest || reply.cost < cheapest->cost)) {
            cheapest = reply;
        }
    }
    return cheapest;
}

std::optional<node_id> best_offer(const std::vector<reservation_reply>& replies)
{
    const auto cheaper = [](const reservation_reply& left, const reservation_reply& right) {
        return std::pair{left.cost, !left.is_offer} < std::pair{right.cost, !right.is_offer};
    };
    const auto best = std::ranges::min_element(replies, cheaper);
    if (best == replies.end() || !best->is_offer) {
        return std::nullopt;
    }
    return best->vm;
}

} // namespace dragonflyroad
