#include "membership/ping_schedule.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Requests by other nodes that wait; a further one is ignored.
constexpr std::size_t max_requested = 16;
/// A lost peer is pinged in one of so many rounds, so that a healed partition is noticed while most
/// pings go to peers that can answer.
constexpr std::uint64_t lost_round_interval = 8;

/// The one pinged longest ago, so that several doubted peers take turns.
const peer_entry* longest_waiting(const std::vector<const peer_entry*>& doubted)
{
    const auto longest = std::min_element(doubted.begin(), doubted.end(),
                                          [](const peer_entry* left, const peer_entry* right) {
                                              return left->last_pinged < right->last_pinged;
                                          });
    return longest == doubted.end() ? nullptr : *longest;
}

class round_builder {
public:
    explicit round_builder(std::size_t most) : count(most) {}

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
    else if (const peer_entry* const doubted = longest_waiting(candidates.doubted)) {
        round.add(doubted->card.node);
    }
    if (!candidates.lost.empty() && uniform_index(random, lost_round_interval) == 0) {
        const auto chosen = uniform_index(random, candidates.lost.size());
        round.add(candidates.lost[chosen]->card.node);
    }
    for (std::size_t tries = 0; tries < 2 * count && !round.is_full(); ++tries) {
        if (const peer_entry* const next = this->next_shuffled(peers, random)) {
            round.add(next->card.node);
        }
    }
    return round.chosen;
}

void ping_schedule::request(const node_id& node)
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
    if (this->order.empty()) {
        this->refill(peers, random);
    }
    while (!this->order.empty()) {
        const auto found = peers.find(this->order.back());
        this->order.pop_back();
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
            this->order.push_back(node);
        }
    }
    if (this->order.empty()) {
        for (const auto& [node, peer] : peers) {
            this->order.push_back(node);
        }
    }
    for (std::size_t index = this->order.size(); index > 1; --index) {
        std::swap(this->order[index - 1], this->order[uniform_index(random, index)]);
    }
}

} // namespace dragonflyroad
