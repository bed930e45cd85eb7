#include "node/membership_controller.hpp"

#include "adapters/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

local_upstream_state to_local_upstream_state(const announced_upstream& upstream)
{
    return {upstream.id, upstream.service, upstream.slots,
            upstream.draining ? announced_state::draining : announced_state::serving};
}

} // namespace

membership_controller::membership_controller(membership_hooks functions, std::uint64_t seed)
    : hooks(std::move(functions)), random(seed)
{
}

bool membership_controller::start(const peer_descriptor& self,
                                  const std::vector<std::string>& seeds, const std::string& secret)
{
    this->members = std::make_unique<fleet_membership>(self, seeds, secret);
    this->socket = udp_transport::open(
        self.datagram_address,
        [this](std::string_view bytes, const std::string&) { this->receive(bytes); });
    if (this->socket == nullptr) {
        return false;
    }
    this->ticker = std::make_unique<periodic_task>([this] { return this->tick(); });
    return true;
}

void membership_controller::refresh_advertised_state(time_point now)
{
    advertised_state facts;
    std::vector<seat_key> runs;
    for (const auto& [node, peer] : this->members->peers().peers()) {
        runs.push_back({node, peer.node_descriptor.node_incarnation});
    }
    this->hooks.fill_advertised_state(facts, runs, now);
    this->members->set_advertised_state(std::move(facts), now);
}

void membership_controller::receive(std::string_view bytes)
{
    const std::scoped_lock lock{this->mutex};
    const time_point now = boot_clock::now();
    this->refresh_advertised_state(now);
    const membership_update update = this->members->on_datagram(bytes, now, this->random);
    this->send(update.datagrams);
    if (update.accepted) {
        this->hooks.on_membership_update(update, now);
        this->publish_upstreams_if_changed();
    }
}

duration membership_controller::tick()
{
    constexpr std::chrono::milliseconds longest_pause{100};
    const std::scoped_lock lock{this->mutex};
    const time_point now = boot_clock::now();
    if (this->members->next_tick() <= now) {
        this->refresh_advertised_state(now);
        const membership_tick result = this->members->tick(now, this->random);
        this->send(result.datagrams);
        for (const state_change& change : result.changes) {
            log_line{"peer_state"}
                .add("peer", change.peer.node.value)
                .add("from", to_code(change.from))
                .add("to", to_code(change.to));
        }
    }
    this->publish_upstreams_if_changed();
    return std::clamp<duration>(this->members->next_tick() - boot_clock::now(),
                                std::chrono::milliseconds{1}, longest_pause);
}

void membership_controller::send(const std::vector<datagram>& datagrams)
{
    for (const datagram& message : datagrams) {
        this->socket->send(message.address, message.bytes);
    }
}

void membership_controller::publish_upstreams_if_changed()
{
    const std::uint64_t version = this->members->announcements().version();
    if (std::exchange(this->published_version, version) != version) {
        this->hooks.on_upstreams(this->collect_upstreams());
    }
}

std::vector<announced_upstream> membership_controller::collect_upstreams() const
{
    std::vector<announced_upstream> list;
    for (const upstream_record& record : this->members->announcements().in_rotation()) {
        list.push_back({record.upstream, record.service, record.slots,
                        record.state == announced_state::draining});
    }
    return list;
}

void membership_controller::announce(const announced_upstream& upstream, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->members->announce(to_local_upstream_state(upstream), now);
    this->publish_upstreams_if_changed();
}

void membership_controller::deregister(const upstream_id& upstream, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->members->deregister_upstream(upstream, now);
    this->publish_upstreams_if_changed();
}

void membership_controller::report_crash(const crash_report& crash, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->members->report(crash, now);
}

void membership_controller::continue_with_incarnation(incarnation run, time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->members = this->members->continue_with_incarnation(run, now);
    this->published_version = this->members->announcements().version();
    this->hooks.on_upstreams(this->collect_upstreams());
}

void membership_controller::leave(time_point now)
{
    const std::scoped_lock lock{this->mutex};
    this->members->leave(now);
}

void membership_controller::stop()
{
    if (this->ticker != nullptr) {
        this->ticker->stop();
    }
    this->socket.reset();
}

std::vector<announced_upstream> membership_controller::upstreams() const
{
    const std::scoped_lock lock{this->mutex};
    return this->collect_upstreams();
}

std::vector<seat_peer> membership_controller::seat_peers() const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<seat_peer> list;
    for (const auto& [node, peer] : this->members->peers().peers()) {
        const time_point direct = peer.last_received.value_or(time_point{});
        const time_point relayed = peer.last_received_by_others.value_or(time_point{});
        list.push_back({{node, peer.node_descriptor.node_incarnation},
                        std::max(direct, relayed),
                        peer.state == peer_state::alive});
    }
    return list;
}

std::vector<known_peer> membership_controller::known_peers() const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<known_peer> list;
    for (const auto& [node, peer] : this->members->peers().peers()) {
        list.push_back({peer.node_descriptor, peer.state});
    }
    return list;
}

fleet_reachability membership_controller::measure_reachability(time_point now) const
{
    const std::scoped_lock lock{this->mutex};
    return this->members->peers().measure_reachability(now);
}

std::optional<std::string> membership_controller::rpc_address(const seat_key& key) const
{
    const std::scoped_lock lock{this->mutex};
    const peer_entry* const peer = this->members->peers().find(key.node);
    return peer == nullptr || peer->node_descriptor.node_incarnation != key.node_incarnation
               ? std::nullopt
               : std::optional{peer->node_descriptor.rpc_address};
}

std::optional<std::string> membership_controller::rpc_address(const node_id& peer) const
{
    const std::scoped_lock lock{this->mutex};
    const peer_entry* const known = this->members->peers().find(peer);
    return known == nullptr ? std::nullopt : std::optional{known->node_descriptor.rpc_address};
}

} // namespace dragonflyroad
