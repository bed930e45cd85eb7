#pragma once

#include "membership/fleet_membership.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonflyroad::test {

inline peer_descriptor card_of(std::size_t node)
{
    const std::string name = "n" + std::to_string(node);
    return {node_id{name},      100 + node,           0,    data_centre{"dc"}, name,
            name + "-rpc-port", name + "-admin-port", false};
}

/// Membership objects of a few nodes on a manual clock. Datagrams arrive at once, or when a paused
/// receiver resumes.
class small_fleet {
public:
    explicit small_fleet(std::size_t size, const std::string& secret = "secret")
        : paused(size, false)
    {
        for (std::size_t node = 0; node < size; ++node) {
            this->nodes.push_back(std::make_unique<fleet_membership>(
                card_of(node), std::vector<std::string>{"n0"}, secret));
        }
    }

    void run_for(duration time)
    {
        constexpr duration step = std::chrono::milliseconds{10};
        for (const time_point end = this->now + time; this->now < end; this->now += step) {
            for (std::size_t node = 0; node < this->nodes.size(); ++node) {
                if (!this->paused[node] && this->nodes[node]->next_tick() <= this->now) {
                    const auto result = this->nodes[node]->tick(this->now, this->random);
                    this->send(node, result.datagrams);
                    for (const state_change& change : result.changes) {
                        this->changes.emplace_back(node, change);
                    }
                }
            }
            this->deliver();
        }
    }

    peer_state state(std::size_t seen_by, std::size_t node) const
    {
        return this->nodes[seen_by]->peers().find(card_of(node).node)->state;
    }

    std::size_t count(peer_state to) const
    {
        std::size_t found = 0;
        for (const auto& [node, change] : this->changes) {
            found += change.to == to ? 1U : 0U;
        }
        return found;
    }

    void send(std::size_t from, const std::vector<datagram>& datagrams)
    {
        for (const datagram& next : datagrams) {
            const std::size_t to = std::stoul(next.address.substr(1));
            if (!this->blocked || !this->blocked(from, to)) {
                this->in_flight.emplace_back(to, next.bytes);
            }
        }
    }

    std::vector<std::unique_ptr<fleet_membership>> nodes;
    std::vector<bool> paused;
    std::function<bool(std::size_t from, std::size_t to)> blocked;
    std::vector<std::pair<std::size_t, state_change>> changes;
    std::deque<std::pair<std::size_t, std::string>> in_flight;
    time_point now{std::chrono::seconds{100}};
    random_engine random{7};

private:
    void deliver()
    {
        std::deque<std::pair<std::size_t, std::string>> waiting;
        while (!this->in_flight.empty()) {
            auto [to, bytes] = std::move(this->in_flight.front());
            this->in_flight.pop_front();
            if (this->paused[to]) {
                waiting.emplace_back(to, std::move(bytes));
                continue;
            }
            this->send(to, this->nodes[to]->on_datagram(bytes, this->now, this->random).datagrams);
        }
        this->in_flight = std::move(waiting);
    }
};

} // namespace dragonflyroad::test
