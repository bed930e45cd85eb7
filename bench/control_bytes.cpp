#include "bench/capacity.hpp"
#include "bench/control_load.hpp"
#include "bench/record.hpp"
#include "bench/seeds_in_parallel.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace dragonflyroad::bench {
namespace {

constexpr double bound_bytes_per_second = 6'000;

/// Measures the bytes per second of datagrams that a node sends and receives, headers included, as
/// the mean over the fleet. Excludes TCP traffic: fetches of configuration changes (400 bytes at
/// 0.37/s, about 150 B/s) and the state that replacement nodes copy.
record measure(const fleet_shape& shape, std::uint64_t seed)
{
    constexpr std::chrono::seconds time{20};
    membership_fleet fleet{shape, seed};
    fleet.run_until(fleet.now + std::chrono::seconds{3});
    for (auto& member : fleet.members) {
        member.sent_bytes = 0;
        member.received_bytes = 0;
    }
    run_under_changes(fleet, time);
    double bytes = 0;
    for (const auto& member : fleet.members) {
        bytes += static_cast<double>(member.sent_bytes + member.received_bytes);
    }
    const double per_node = bytes / static_cast<double>(fleet.members.size() * time.count());
    return {"control_bytes",
            shape.deployment,
            "control_bytes_" + std::to_string(shape.nodes) + "_nodes",
            per_node,
            "B/s",
            bound_bytes_per_second,
            bound_kind::at_most,
            seed};
}

struct part {
    fleet_shape shape;
    std::uint64_t seeds = 0;
};

/// Measures all parts in parallel and returns the record with the highest value of each. The last
/// parts take the longest and are started first.
std::vector<record> worst_value_record(const std::vector<part>& parts, std::uint64_t first_seed)
{
    std::vector<std::pair<std::size_t, std::uint64_t>> runs;
    for (std::size_t place = parts.size(); place-- > 0;) {
        for (std::uint64_t seed = 0; seed < parts[place].seeds; ++seed) {
            runs.emplace_back(place, first_seed + seed);
        }
    }
    const auto results = run_in_parallel(runs.size(), [&](std::size_t index) {
        return measure(parts[runs[index].first].shape, runs[index].second);
    });
    std::vector<record> worst(parts.size());
    for (std::size_t index = 0; index < runs.size(); ++index) {
        record& kept = worst[runs[index].first];
        kept = results[index].value > kept.value ? results[index] : kept;
    }
    return worst;
}

constexpr std::uint64_t all_seeds = 20;

const registration entry{{"control_bytes", false, [](std::uint64_t seed) {
                              // The mean over 2,100 nodes hardly varies between seeds, so one is
                              // enough.
                              return worst_value_record({{ledgerworks(6), all_seeds},
                                                         {ledgerworks(24), all_seeds},
                                                         {siamcite(27), all_seeds},
                                                         {target(150), 2},
                                                         {target(2'100), 1}},
                                                        seed);
                          }}};

} // namespace

std::vector<record> control_bytes_at_target(std::uint64_t seed)
{
    // A fleet of 2,100 nodes takes over 1 GB of memory, so only two seeds are run.
    return worst_value_record(
        {{target(24), all_seeds}, {target(150), all_seeds}, {target(2'100), 2}}, seed);
}

} // namespace dragonflyroad::bench
