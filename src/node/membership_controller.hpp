#pragma once

#include "adapters/udp_transport.hpp"
#include "core/random.hpp"
#include "limits/seat_controller.hpp"
#include "membership/fleet_membership.hpp"
#include "node/local_decisions.hpp"
#include "node/periodic_task.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// A peer and its state as observed by this node.
struct known_peer {
    peer_descriptor descriptor;
    peer_state state = peer_state::alive;
};

/// Callbacks between membership and the other controllers. They run with the membership lock held,
/// so they must not call membership.
struct membership_hooks {
    /// Provides the state to advertise. Called each time before messages are created, because state
    /// from before a pause of the process may no longer hold.
    std::function<void(advertised_state&, const std::vector<seat_key>& peers, time_point)>
        fill_advertised_state;
    std::function<void(const membership_update&, time_point)> on_membership_update;
    std::function<void(const std::vector<announced_upstream>&)> on_upstreams;
};

/// Runs fleet membership for one node, with its own UDP socket and threads.
class membership_controller {
public:
    membership_controller(membership_hooks hooks, std::uint64_t seed);

    /// Opens the socket at the datagram address of `self` and starts. Returns false if the socket
    /// cannot be opened.
    bool start(const peer_descriptor& self, const std::vector<std::string>& seeds,
               const std::string& secret);

    void announce(const announced_upstream& upstream, time_point now);
    void deregister(const upstream_id& upstream, time_point now);

    /// Spreads a crash that this node observed to the other nodes.
    void report_crash(const crash_report& crash, time_point now);

    /// Switches to a later run of this node without leaving the fleet.
    void continue_with_incarnation(incarnation run, time_point now);
    void leave(time_point now);
    void stop();

    std::vector<announced_upstream> upstreams() const;
    /// The peers in the form that the seat controller needs.
    std::vector<seat_peer> seat_peers() const;
    /// All peers in the peer table, also lost ones and those that have left.
    std::vector<known_peer> known_peers() const;
    fleet_reachability measure_reachability(time_point now) const;
    std::optional<std::string> rpc_address(const seat_key& peer) const;
    std::optional<std::string> rpc_address(const node_id& peer) const;

private:
    void receive(std::string_view bytes);
    duration tick();
    void refresh_advertised_state(time_point now);
    void send(const std::vector<datagram>& datagrams);
    void publish_upstreams_if_changed();
    std::vector<announced_upstream> collect_upstreams() const;

    membership_hooks hooks;
    mutable std::mutex mutex;
    random_engine random;
    std::unique_ptr<fleet_membership> members;
    std::uint64_t published_version = 0;
    std::unique_ptr<udp_transport> socket;
    std::unique_ptr<periodic_task> ticker;
};

} // namespace dragonflyroad
