#include "bench/allocated_bytes.hpp"
#include "bench/capacity.hpp"
#include "bench/upstream_load.hpp"
#include "membership/announcement_table.hpp"
#include "membership/peer_table.hpp"
#include "routing/ejection_controller.hpp"

#include <fmt/format.h>

namespace dragonflyroad::bench {
namespace {

constexpr std::size_t upstreams_per_service = 24;
constexpr time_point start{std::chrono::seconds{1'000}};

record make_record(const std::string& measure, double value, std::uint64_t seed)
{
    return {"state_memory", "target", measure, value, "B", 0, bound_kind::none, seed};
}

double bytes_since(std::size_t before, std::size_t count)
{
    return static_cast<double>(allocated_bytes() - before) / static_cast<double>(count);
}

/// Measures the memory per upstream of an upstream set without traffic, including the statistics
/// and the ejection state that one tick creates.
record routing_bytes(std::size_t services, std::uint64_t seed)
{
    const std::size_t count = services * upstreams_per_service;
    const std::size_t before = allocated_bytes();
    upstream_set set;
    fill_upstreams(set, services, upstreams_per_service, start);
    ejection_controller controller{node_id{"node"}};
    controller.tick(set, {}, start + std::chrono::seconds{1});
    return make_record(fmt::format("routing_bytes_per_upstream_{}", count),
                       bytes_since(before, count), seed);
}

/// Measures the memory per peer in the peer table of a node that knows all other nodes but has not
/// received from them yet.
record peer_bytes(std::size_t nodes, std::uint64_t seed)
{
    std::vector<peer_descriptor> cards(nodes);
    for (std::size_t number = 0; number < nodes; ++number) {
        const std::string ip = fmt::format("10.20.{}.{}", number / 200, number % 200);
        cards[number].node = node_id{fmt::format("node-{:04}", number)};
        cards[number].node_incarnation = number + 1;
        cards[number].centre = data_centre{fmt::format("dc-{}", number % 14)};
        cards[number].datagram_address = ip + ":7400";
        cards[number].rpc_address = ip + ":7401";
        cards[number].admin_address = ip + ":7402";
    }
    const std::size_t before = allocated_bytes();
    peer_table table{cards.front(), {}};
    table.merge_descriptors(cards, start);
    random_engine random{seed};
    table.tick(start, random);
    return make_record(fmt::format("bytes_per_peer_{}", nodes), bytes_since(before, nodes), seed);
}

/// Measures the memory per upstream of one node's announcement table with `count` upstreams.
record announcement_bytes(std::size_t count, std::uint64_t seed)
{
    announcement_table table{1};
    const std::size_t before = allocated_bytes();
    for (std::size_t number = 0; number < count; ++number) {
        upstream_record next;
        next.upstream = upstream_id{
            fmt::format("10.{}.{}.{}:9000", number / 40'000, number / 200 % 200, number % 200)};
        next.service = nth_service(number / upstreams_per_service);
        next.slots = 7;
        next.node_incarnation = 1'000 + number / 57;
        next.sequence = number % 57 + 1;
        table.merge(next, start);
    }
    return make_record(fmt::format("announcement_bytes_per_upstream_{}", count),
                       bytes_since(before, count), seed);
}

} // namespace

std::vector<record> state_memory(std::uint64_t seed)
{
    std::vector<record> records;
    for (const std::size_t services : {25U, 100U, 214U}) {
        records.push_back(routing_bytes(services, seed));
    }
    for (const std::size_t count : {600U, 5'140U, 120'000U}) {
        records.push_back(announcement_bytes(count, seed));
    }
    for (const std::size_t nodes : {24U, 150U, 2'100U}) {
        records.push_back(peer_bytes(nodes, seed));
    }
    return records;
}

} // namespace dragonflyroad::bench
