#include "membership/ping_schedule.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Maximum number of queued ping requests; further ones are ignored.
constexpr std::size_t max_requested = 16;
/// A lost peer is pinged in one of this many rounds on average, so that a healed partition is
/// detected while most pings go to peers that can respond.
constexpr std::uint64_t lost_round_interval = 8;

/// Returns the peer that was pinged longest ago, so that several unresponsive peers take turns.
const peer_entry* least_recently_pinged(const std::vector<const peer_entry*>& unresponsive)
{
    const auto longest = std::min_element(unresponsive.begin(), unresponsive.end(),
                                          [](const peer_entry* left, const peer_entry* right) {
                                              return left->last_pinged < right->last_pinged;
                                          });
    return longest == unresponsive.end() ? nullptr : *longest;
}

class round_builder {
public:
    explicit round_builder(std::size_t max_count) : count(max_count) {}

    bool is_full() const { return this->chosen.size() >= this->count; }

    void add(const node_id& node)
    {
        const bool known =
            std::find(this->chosen.begin(), this->chosen.end(), node) != this->chosen.end();
        if (!known && !this->is_full()) {
            this->chosen.push_back(node);
        }
    }

    std::vector<node_id> chosen;

private:
    std::size_t count;
};

} // namespace

std::vector<node_id> ping_schedule::next_round(const std::map<node_id, peer_entry>& peers,
                                               const ping_candidates& candidates,
                                               const std::vector<node_id>& witnesses,
                                               std::size_t count, random_engine& random)
{
    round_builder round{count};
    if (!witnesses.empty()) {
        const node_id& witness = witnesses[this->next_witness++ % witnesses.size()];
        if (peers.contains(witness)) {
            round.add(witness);
        }
    }
    if (!this->requested.empty()) {
        if (peers.contains(this->requested.front())) {
            round.add(this->requested.front());
        }
        this->requested.pop_front();
    }
    else if (const peer_entry* const unresponsive =
                 least_recently_pinged(candidates.with_missed_pings)) {
        round.add(unresponsive->node_descriptor.node);
    }
    if (!candidates.lost.empty() && uniform_index(random, lost_round_interval) == 0) {
        const auto chosen = uniform_index(random, candidates.lost.size());
        round.add(candidates.lost[chosen]->node_descriptor.node);
    }
    for (std::size_t tries = 0; tries < 2 * count && !round.is_full(); ++tries) {
        if (const peer_entry* const next = this->next_shuffled(peers, random)) {
            round.add(next->node_descriptor.node);
        }
    }
    return round.chosen;
}

void ping_schedule::request_ping(const node_id& node)
{
    const bool waiting =
        std::find(this->requested.begin(), this->requested.end(), node) != this->requested.end();
    if (!waiting && this->requested.size() < max_requested) {
        this->requested.push_back(node);
    }
}

const peer_entry* ping_schedule::next_shuffled(const std::map<node_id, peer_entry>& peers,
                                               random_engine& random)
{
    if (this->shuffled_nodes.empty()) {
        this->refill(peers, random);
    }
    while (!this->shuffled_nodes.empty()) {
        const auto found = peers.find(this->shuffled_nodes.back());
        this->shuffled_nodes.pop_back();
        if (found != peers.end() && found->second.state != peer_state::left) {
            return &found->second;
        }
    }
    return nullptr;
}

void ping_schedule::refill(const std::map<node_id, peer_entry>& peers, random_engine& random)
{
    for (const auto& [node, peer] : peers) {
        if (peer.state != peer_state::left && peer.state != peer_state::lost) {
            this->shuffled_nodes.push_back(node);
        }
    }
    if (this->shuffled_nodes.empty()) {
        for (const auto& [node, peer] : peers) {
            this->shuffled_nodes.push_back(node);
        }
    }
    for (std::size_t index = this->shuffled_nodes.size(); index > 1; --index) {
        std::swap(this->shuffled_nodes[index - 1],
                  this->shuffled_nodes[uniform_index(random, index)]);
    }
}

} // namespace dragonflyroad
