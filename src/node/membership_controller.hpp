#pragma once

#include "adapters/udp_transport.hpp"
#include "core/random.hpp"
#include "limits/rights_controller.hpp"
#include "membership/fleet_membership.hpp"
#include "node/periodic_task.hpp"
#include "node/simple_gates.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// A node of the fleet as this one sees it.
struct known_peer {
    peer_card card;
    peer_state state = peer_state::alive;
};

/// What other controllers learn from and tell to membership. Called with the membership lock held,
/// so they must not call back.
struct membership_hooks {
    /// The facts that the next message states; asked before each one, because a statement that was
    /// true before a pause of the process may no longer be.
    std::function<void(local_facts&, const std::vector<seat_key>& peers, time_point)> fill_facts;
    std::function<void(const membership_news&, time_point)> on_news;
    std::function<void(const std::vector<announced_upstream>&)> on_upstreams;
};

/// Runs the fleet membership of one node on a UDP socket and a thread.
class membership_controller {
public:
    membership_controller(membership_hooks hooks, std::uint64_t seed);

    /// Opens the socket at the card's datagram address and starts. False when it is taken.
    bool start(const peer_card& self, const std::vector<std::string>& seeds,
               const std::string& secret);

    void announce(const announced_upstream& upstream, time_point now);
    void withdraw(const upstream_id& upstream, time_point now);

    /// Spreads a crash that this node saw to the other nodes.
    void report(const crash_report& crash, time_point now);

    /// Continues as a later run of this node, without leaving the fleet.
    void continue_as(incarnation run, time_point now);
    void leave(time_point now);
    void stop();

    std::vector<announced_upstream> upstreams() const;
    /// The peers as the rights controller sees them.
    std::vector<rights_peer> peers() const;
    /// All peers that are not forgotten.
    std::vector<known_peer> known() const;
    contact contacts(time_point now) const;
    std::optional<std::string> rpc_address(const seat_key& peer) const;
    std::optional<std::string> rpc_address(const node_id& peer) const;

private:
    void receive(std::string_view bytes);
    duration tick();
    void state_facts(time_point now);
    void send(const std::vector<datagram>& datagrams);
    void publish_if_changed();
    std::vector<announced_upstream> collect() const;

    membership_hooks hooks;
    mutable std::mutex mutex;
    random_engine random;
    std::unique_ptr<fleet_membership> members;
    std::uint64_t published = 0;
    std::unique_ptr<udp_transport> socket;
    std::unique_ptr<periodic_task> ticker;
};

} // namespace dragonflyroad
