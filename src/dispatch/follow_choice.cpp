#include "dispatch/follow_choice.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// How long a node without news is passed over.
constexpr std::chrono::milliseconds stale_time{4'000};

/// After a failed call the store is tried again this much later; other nodes are followed
/// meanwhile.
constexpr std::chrono::milliseconds store_retry_time{1'000};

std::uint64_t order_of(const node_id& node)
{
    return stable_hash("follow " + node.value);
}

} // namespace

bool follow_choice::is_passed_over(const node_id& node, time_point now) const
{
    const auto found = this->stale_until.find(node);
    return found != this->stale_until.end() && now < found->second;
}

std::optional<node_id> follow_choice::choose(const std::vector<node_id>& centre_nodes,
                                             const std::vector<node_id>& all_nodes,
                                             random_engine& random, time_point now)
{
    const bool may_ask_store = now >= this->store_failed_until;
    if (std::exchange(this->asks_store_next, false) && may_ask_store) {
        return std::nullopt;
    }
    const node_id* first = nullptr;
    for (const node_id& node : centre_nodes) {
        const bool is_usable = node == this->self || !this->is_passed_over(node, now);
        if (is_usable && (first == nullptr || order_of(node) < order_of(*first))) {
            first = &node;
        }
    }
    if (first != nullptr && *first != this->self) {
        return *first;
    }
    if (may_ask_store) {
        return std::nullopt;
    }
    std::vector<node_id> others;
    std::ranges::copy_if(all_nodes, std::back_inserter(others), [&](const node_id& node) {
        return node != this->self && !this->is_passed_over(node, now);
    });
    if (others.empty()) {
        return std::nullopt;
    }
    return others[uniform_index(random, others.size())];
}

void follow_choice::note_stale(const node_id& node, time_point now)
{
    this->stale_until[node] = now + stale_time;
    this->asks_store_next = true;
}

void follow_choice::note_store_failure(time_point now)
{
    this->store_failed_until = now + store_retry_time;
}

} // namespace dragonflyroad
