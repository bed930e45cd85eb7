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
/// takes a few milliseconds more. `max_tie_cost` only breaks ties between VMs with similar costs:
/// it stays below the cost of traffic between data centres. `own_vm_bonus` does so before this node
/// has load reports.
constexpr double unreachable_cost = 100'000;
constexpr double centre_crossing_cost = 8;
constexpr double max_tie_cost = 6;
constexpr double own_vm_bonus = 1;

/// Time after which the tie cost of a VM that was asked has halved.
constexpr std::chrono::duration<double> asked_half_time{2};

/// Share of a tie cost that is random, so that nodes which asked at the same moments differ.
constexpr double random_tie_share = 0.2;

/// VMs that are scored per selection, in this data centre and in others. Two choices out of a few
/// balance nearly as well as out of all, at a cost that does not grow with the fleet.
constexpr std::size_t same_centre_sample = 8;
constexpr std::size_t other_centres_sample = 4;

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

service_candidates::service_candidates(const std::vector<vm_candidate>& candidates)
{
    for (const vm_candidate& candidate : candidates) {
        (candidate.is_same_centre ? this->same_centre : this->other_centres).push_back(candidate);
    }
}

double other_centre_cost(double response_size)
{
    return centre_crossing_cost + response_size / bytes_per_millisecond;
}

double offer_load_cost(const upstream_load_report& load)
{
    if (load.slots == 0) {
        return 0;
    }
    const double slots = load.slots;
    const double excess = std::max(load.busy - slots, 0.0);
    const double wait = excess * static_cast<double>(load.typical_run.count()) / slots;
    return wait + max_tie_cost * std::min(load.busy / slots, 1.0);
}

double vm_selector::score(const vm_candidate& candidate, const load_estimate& load,
                          double response_size, random_engine& random, time_point now) const
{
    double cost = 0;
    if (load.since_asked) {
        const std::chrono::duration<double> age = *load.since_asked;
        cost =
            max_tie_cost / (1 + age / asked_half_time) * (1 - random_tie_share * uniform(random));
    }
    else {
        cost = uniform(random) * max_tie_cost - (candidate.is_local_vm ? own_vm_bonus : 0);
    }
    cost += candidate.is_same_centre ? 0 : other_centre_cost(response_size);
    const auto wait = static_cast<double>(load.wait.value_or(std::chrono::milliseconds{0}).count());
    const auto found = this->observations.find(candidate.vm);
    if (found == this->observations.end()) {
        return cost + wait;
    }
    const vm_observation& observed = found->second;
    const std::chrono::duration<double> age = now - observed.cost_at;
    const std::chrono::duration<double> half_life = cost_half_life;
    // The observed cost of a full upstream is a wait, too.
    cost += std::max(wait, static_cast<double>(observed.cost.count()) *
                               std::exp2(-age.count() / half_life.count()));
    return cost + (now < observed.unreachable_until ? unreachable_cost : 0);
}

void vm_selector::score_sample(std::vector<vm_candidate>& candidates, std::size_t limit,
                               const vm_selection& wanted, const service_load& loads,
                               random_engine& random, time_point now,
                               std::vector<scored_vm>& scored) const
{
    std::size_t reachable = 0;
    for (std::size_t index = 0; index < candidates.size() && reachable < limit; ++index) {
        const std::size_t drawn = index + uniform_index(random, candidates.size() - index);
        std::swap(candidates[index], candidates[drawn]);
        const vm_candidate& candidate = candidates[index];
        if (wanted.is_excluded(candidate.vm)) {
            continue;
        }
        const load_estimate load = loads.estimate(candidate.vm, now);
        const double cost = this->score(candidate, load, wanted.response_size, random, now);
        scored.emplace_back(cost, &candidate.vm);
        reachable += cost < unreachable_cost ? 1 : 0;
    }
}

std::vector<node_id> vm_selector::choose(service_candidates& candidates, const vm_selection& wanted,
                                         const service_load& loads, random_engine& random,
                                         time_point now) const
{
    std::vector<scored_vm> scored;
    scored.reserve(same_centre_sample + other_centres_sample);
    this->score_sample(candidates.same_centre, same_centre_sample, wanted, loads, random, now,
                       scored);
    this->score_sample(candidates.other_centres, other_centres_sample, wanted, loads, random, now,
                       scored);
    const std::size_t kept = std::min(wanted.count, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(kept), {},
                              &scored_vm::first);
    std::vector<node_id> chosen;
    chosen.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index) {
        chosen.push_back(*scored[index].second);
    }
    return chosen;
}

std::optional<reservation_reply> cheapest_offer(const std::vector<reservation_reply>& replies)
{
    const auto total = [](const reservation_reply& reply) {
        return static_cast<double>(reply.cost.count()) + reply.placement_cost;
    };
    std::optional<reservation_reply> cheapest;
    for (const reservation_reply& reply : replies) {
        if (reply.is_offer && (!cheapest || total(reply) < total(*cheapest))) {
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
