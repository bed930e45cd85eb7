#include "membership/service_interest.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t followers_per_data_centre = 2;

struct ranked_candidate {
    std::uint64_t rank = 0;
    const follower_candidate* candidate = nullptr;
};

std::vector<ranked_candidate> rank(const service_name& service,
                                   const std::vector<follower_candidate>& candidates)
{
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    const std::uint64_t seed = stable_hash(service.value);
    for (const follower_candidate& candidate : candidates) {
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

std::vector<node_id> followers(const service_name& service,
                               const std::vector<follower_candidate>& candidates)
{
    std::set<node_id> chosen;
    const std::vector<ranked_candidate> ranked = rank(service, candidates);
    if (ranked.size() > max_service_followers) {
        std::map<data_centre, std::size_t> per_centre;
        for (const ranked_candidate& next : ranked) {
            if (per_centre[next.candidate->centre]++ < followers_per_data_centre) {
                chosen.insert(next.candidate->node);
            }
        }
    }
    for (const ranked_candidate& next : ranked) {
        if (chosen.size() >= max_service_followers) {
            break;
        }
        chosen.insert(next.candidate->node);
    }
    return {chosen.begin(), chosen.end()};
}

} // namespace dragonflyroad
