#include "dispatch/placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::chrono::milliseconds memory_half_life{700};

/// How long a VM is passed over after a failed connection; longer outages renew it.
constexpr std::chrono::milliseconds unreachable_time{1'500};

/// Costs in milliseconds that order the candidates. The latter two only break ties between VMs that
/// look alike; traffic between data centres is billed and takes a few milliseconds more.
constexpr double unreachable_cost = 100'000;
constexpr double other_centre_cost = 8;
constexpr double random_cost = 6;
constexpr double own_vm_gain = 1;

/// Bytes that the link of a small VM (11 Mbit/s) carries in a millisecond: an answer from another
/// data centre costs the time that it holds such a link.
constexpr double bytes_per_millisecond = 1'375;

} // namespace

void placement::note_cost(const node_id& vm, std::chrono::milliseconds cost, time_point now)
{
    vm_memory& memory = this->memories[vm];
    memory.cost = cost;
    memory.at = now;
}

void placement::note_unreachable(const node_id& vm, time_point now)
{
    this->memories[vm].unreachable_until = now + unreachable_time;
}

void placement::note_reachable(const node_id& vm)
{
    this->memories[vm].unreachable_until = {};
}

bool placement::is_unreachable(const node_id& vm, time_point now) const
{
    const auto found = this->memories.find(vm);
    return found != this->memories.end() && now < found->second.unreachable_until;
}

double placement::score(const placement_candidate& candidate, double answer_bytes,
                        random_engine& random, time_point now) const
{
    double cost = uniform(random) * random_cost;
    cost += candidate.is_same_centre ? 0 : other_centre_cost + answer_bytes / bytes_per_millisecond;
    cost -= candidate.is_own ? own_vm_gain : 0;
    const auto found = this->memories.find(candidate.vm);
    if (found == this->memories.end()) {
        return cost;
    }
    const vm_memory& memory = found->second;
    const std::chrono::duration<double> age = now - memory.at;
    const std::chrono::duration<double> half_life = memory_half_life;
    cost += static_cast<double>(memory.cost.count()) * std::exp2(-age.count() / half_life.count());
    return cost + (now < memory.unreachable_until ? unreachable_cost : 0);
}

std::vector<node_id> placement::choose(std::vector<placement_candidate> candidates,
                                       std::size_t count, double answer_bytes,
                                       random_engine& random, time_point now) const
{
    std::vector<std::pair<double, node_id>> scored;
    scored.reserve(candidates.size());
    for (placement_candidate& candidate : candidates) {
        const double cost = this->score(candidate, answer_bytes, random, now);
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

std::optional<placement_reply> cheapest_offer(const std::vector<placement_reply>& replies)
{
    std::optional<placement_reply> cheapest;
    for (const placement_reply& reply : replies) {
        if (reply.is_offer && (!cheapest || reply.cost < cheapest->cost)) {
            cheapest = reply;
        }
    }
    return cheapest;
}

std::optional<node_id> best_offer(const std::vector<placement_reply>& replies)
{
    const auto cheaper = [](const placement_reply& left, const placement_reply& right) {
        return std::pair{left.cost, !left.is_offer} < std::pair{right.cost, !right.is_offer};
    };
    const auto best = std::ranges::min_element(replies, cheaper);
    if (best == replies.end() || !best->is_offer) {
        return std::nullopt;
    }
    return best->vm;
}

} // namespace dragonflyroad
