#include "membership/service_subscribers.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t min_subscribers_per_data_centre = 2;

struct ranked_candidate {
    std::uint64_t rank = 0;
    const subscriber_candidate* candidate = nullptr;
};

std::vector<ranked_candidate> rank_by_hash(const service_name& service,
                                           const std::vector<subscriber_candidate>& candidates)
{
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    const std::uint64_t seed = stable_hash(service.value);
    for (const subscriber_candidate& candidate : candidates) {
        ranked.push_back({stable_hash(candidate.node.value, seed), &candidate});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const ranked_candidate& left, const ranked_candidate& right) {
                  return std::tie(left.rank, left.candidate->node) >
                         std::tie(right.rank, right.candidate->node);
              });
    return ranked;
}

} // namespace

std::vector<node_id> select_subscribers(const service_name& service,
                                        const std::vector<subscriber_candidate>& candidates)
{
    std::set<node_id> chosen;
    const std::vector<ranked_candidate> ranked = rank_by_hash(service, candidates);
    if (ranked.size() > max_service_subscribers) {
        std::map<data_centre, std::size_t> per_centre;
        for (const ranked_candidate& next : ranked) {
            if (per_centre[next.candidate->centre]++ < min_subscribers_per_data_centre) {
                chosen.insert(next.candidate->node);
            }
        }
    }
    for (const ranked_candidate& next : ranked) {
        if (chosen.size() >= max_service_subscribers) {
            break;
        }
        chosen.insert(next.candidate->node);
    }
    return {chosen.begin(), chosen.end()};
}

} // namespace dragonflyroad
