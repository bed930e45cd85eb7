#include "bench/membership_fleet.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dragonflyroad::bench {
namespace {

/// Size of the UDP and IPv4 headers of a datagram.
constexpr std::uint64_t header_bytes = 28;

peer_descriptor make_card(std::size_t node, std::size_t data_centre)
{
    const std::string ip =
        fmt::format("10.{}.{}.{}", 20 + data_centre, node / 200, 10 + node % 200);
    peer_descriptor card;
    card.node = node_id{fmt::format("node-{:04}", node)};
    card.node_incarnation = (std::uint64_t{1'700'000'000'000} << 20U) + node * 7'919;
    card.centre = data_centre == 0 ? dragonflyroad::data_centre{"dc-0"}
                                   : dragonflyroad::data_centre{fmt::format("dc-{}", data_centre)};
    card.datagram_address = ip + ":7400";
    card.rpc_address = ip + ":7401";
    card.admin_address = ip + ":7402";
    return card;
}

} // namespace

fleet_shape ledgerworks(std::size_t nodes)
{
    fleet_shape shape;
    shape.deployment = "ledgerworks";
    shape.nodes = nodes;
    return shape;
}

fleet_shape siamcite(std::size_t nodes)
{
    fleet_shape shape;
    shape.deployment = "siamcite";
    shape.nodes = nodes;
    shape.between_data_centres = std::chrono::milliseconds{1};
    return shape;
}

fleet_shape target(std::size_t nodes)
{
    fleet_shape shape;
    shape.deployment = "target";
    shape.nodes = nodes;
    shape.data_centres = 14;
    shape.regions = 6;
    shape.settings.peers.ping_interval = std::chrono::seconds{1};
    shape.settings.peers.pause_gap = std::chrono::seconds{2};
    return shape;
}

bool membership_fleet::is_later::operator()(const event& left, const event& right) const
{
    return std::tie(left.time, left.order) > std::tie(right.time, right.order);
}

membership_fleet::membership_fleet(fleet_shape chosen_shape, std::uint64_t seed)
    : random(seed),
      members(chosen_shape.nodes),
      shape(std::move(chosen_shape)),
      planned(shape.nodes)
{
    for (std::size_t node = 0; node < this->shape.nodes; ++node) {
        this->descriptors.push_back(make_card(node, node % this->shape.data_centres));
        this->by_address.emplace(this->descriptors.back().datagram_address, node);
        this->by_name.emplace(this->descriptors.back().node, node);
    }
    for (std::size_t node = 0; node < this->shape.nodes; ++node) {
        this->members[node].data_centre = node % this->shape.data_centres;
        this->start(node);
    }
}

void membership_fleet::start(std::size_t node)
{
    const auto interval =
        static_cast<std::uint64_t>(this->shape.settings.peers.ping_interval.count());
    member& next = this->members[node];
    next.membership = std::make_unique<fleet_membership>(
        this->descriptors[node], std::vector<std::string>{this->descriptors[0].datagram_address},
        "fleet secret", this->shape.settings);
    next.membership->peers().merge_descriptors(this->descriptors, this->now);
    const time_point first = this->now + duration{uniform_index(this->random, interval)};
    this->planned[node] = first;
    this->push({first, 0, node, {}, {}});
}

void membership_fleet::restart(std::size_t node)
{
    ++this->descriptors[node].node_incarnation;
    const revision_number revision = std::exchange(this->members[node].revision, 0);
    this->start(node);
    this->set_revision(node, revision);
}

void membership_fleet::push(event next)
{
    next.order = ++this->pushed;
    this->events.push(std::move(next));
}

void membership_fleet::at(time_point time, std::function<void()> action)
{
    this->push({time, 0, 0, {}, std::move(action)});
}

void membership_fleet::set_revision(std::size_t node, revision_number revision)
{
    member& target = this->members[node];
    if (revision <= target.revision) {
        return;
    }
    target.revision = revision;
    advertised_state facts;
    facts.revision = revision;
    target.membership->set_advertised_state(std::move(facts), this->now);
    this->plan_tick(node);
}

void membership_fleet::announce(std::size_t node, const local_upstream_state& offer)
{
    this->members[node].membership->announce(offer, this->now);
    this->plan_tick(node);
}

duration membership_fleet::delay(std::size_t from, std::size_t to) const
{
    const std::size_t left = this->members[from].data_centre;
    const std::size_t right = this->members[to].data_centre;
    if (left == right) {
        return this->shape.within_data_centre;
    }
    return left % this->shape.regions == right % this->shape.regions
               ? this->shape.between_data_centres
               : this->shape.between_regions;
}

std::size_t membership_fleet::index_of(const node_id& node) const
{
    return this->by_name.at(node);
}

void membership_fleet::run_until(time_point end)
{
    while (!this->events.empty() && this->events.top().time <= end) {
        event next = std::move(const_cast<event&>(this->events.top()));
        this->events.pop();
        this->now = std::max(this->now, next.time);
        this->handle(next);
    }
    this->now = std::max(this->now, end);
}

void membership_fleet::handle(event& next)
{
    if (next.action) {
        next.action();
        return;
    }
    member& target = this->members[next.node];
    if (target.stopped) {
        return;
    }
    if (this->now < target.paused_until) {
        next.time = target.paused_until;
        if (next.bytes.empty()) {
            this->planned[next.node] = next.time;
        }
        this->push(std::move(next));
        return;
    }
    if (!next.bytes.empty()) {
        this->receive(next.node, next.bytes);
    }
    else if (next.time == this->planned[next.node]) {
        this->tick(next.node);
    }
}

void membership_fleet::tick(std::size_t node)
{
    member& target = this->members[node];
    const membership_tick result =
        this->timed(this->ticks, [&] { return target.membership->tick(this->now, this->random); });
    this->send(node, result.datagrams);
    if (this->on_change) {
        for (const state_change& change : result.changes) {
            this->on_change(node, change);
        }
    }
    this->planned[node] = time_point::max();
    this->plan_tick(node);
}

void membership_fleet::plan_tick(std::size_t node)
{
    const time_point due = std::max(this->members[node].membership->next_tick(), this->now);
    if (due < this->planned[node]) {
        this->planned[node] = due;
        this->push({due, 0, node, {}, {}});
    }
}

void membership_fleet::receive(std::size_t node, const std::string& bytes)
{
    member& target = this->members[node];
    target.received_bytes += bytes.size() + header_bytes;
    const membership_update news = this->timed(this->received, [&] {
        return target.membership->on_datagram(bytes, this->now, this->random);
    });
    this->send(node, news.datagrams);
    if (this->on_membership_update && news.accepted) {
        this->on_membership_update(node, news);
    }
    this->plan_tick(node);
}

void membership_fleet::send(std::size_t from, const std::vector<datagram>& datagrams)
{
    for (const datagram& next : datagrams) {
        member& sender = this->members[from];
        sender.sent_bytes += next.bytes.size() + header_bytes;
        ++sender.messages;
        const auto found = this->by_address.find(next.address);
        if (found == this->by_address.end() || uniform(this->random) < this->shape.loss ||
            (this->is_blocked && this->is_blocked(from, found->second))) {
            continue;
        }
        this->push(
            {this->now + this->delay(from, found->second), 0, found->second, next.bytes, {}});
    }
}

} // namespace dragonflyroad::bench
