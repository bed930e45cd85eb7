#include "dispatch/change_source_selector.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

/// How long a stale node is skipped.
constexpr std::chrono::milliseconds stale_node_skip_time{4'000};

/// Delay before the store is tried again after a failed call; another node is followed meanwhile.
constexpr std::chrono::milliseconds store_retry_delay{1'000};

std::uint64_t selection_order(const node_id& node)
{
    return stable_hash("follow " + node.value);
}

} // namespace

bool change_source_selector::is_skipped(const node_id& node, time_point now) const
{
    const auto found = this->stale_until.find(node);
    return found != this->stale_until.end() && now < found->second;
}

std::optional<node_id> change_source_selector::first_usable(const std::vector<node_id>& nodes,
                                                            time_point now) const
{
    const node_id* first = nullptr;
    for (const node_id& node : nodes) {
        const bool is_usable = node == this->self || !this->is_skipped(node, now);
        if (is_usable && (first == nullptr || selection_order(node) < selection_order(*first))) {
            first = &node;
        }
    }
    return first == nullptr ? std::nullopt : std::optional{*first};
}

std::optional<node_id> change_source_selector::choose(const std::vector<node_id>& centre_nodes,
                                                      const std::vector<node_id>& all_nodes,
                                                      random_engine& random, time_point now)
{
    const bool may_use_store = now >= this->store_failed_until;
    if (std::exchange(this->prefers_store_next, false) && may_use_store) {
        return std::nullopt;
    }
    if (auto first = this->first_usable(centre_nodes, now); first && *first != this->self) {
        return first;
    }
    // This node is the first of its data centre.
    if (auto first = this->first_usable(all_nodes, now); first && *first != this->self) {
        return first;
    }
    if (may_use_store) {
        return std::nullopt;
    }
    std::vector<node_id> others;
    std::ranges::copy_if(all_nodes, std::back_inserter(others), [&](const node_id& node) {
        return node != this->self && !this->is_skipped(node, now);
    });
    if (others.empty()) {
        return std::nullopt;
    }
    return others[uniform_index(random, others.size())];
}

void change_source_selector::record_stale_node(const node_id& node, time_point now)
{
    this->stale_until[node] = now + stale_node_skip_time;
    this->prefers_store_next = true;
}

void change_source_selector::record_store_failure(time_point now)
{
    this->store_failed_until = now + store_retry_delay;
}

} // namespace dragonflyroad
