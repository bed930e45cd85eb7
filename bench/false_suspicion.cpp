#include "bench/membership_fleet.hpp"
#include "bench/record.hpp"
#include "bench/seeds_in_parallel.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t seeds = 20;
constexpr duration period = std::chrono::seconds{10};
constexpr std::size_t periods = 3;
/// A suspicion of a member counts as justified during the member's pause and for this long after
/// it.
constexpr duration alive_window = std::chrono::seconds{3};

/// Counts suspicions of running members. In each period up to one tenth of all one-way links
/// between members are blocked and one member is paused for 0.5 to 8 s; 1% of the datagrams are
/// lost.
double count_suspicions(const fleet_shape& shape, std::uint64_t seed)
{
    membership_fleet fleet{shape, seed};
    std::size_t count = 0;
    fleet.on_change = [&](std::size_t, const state_change& change) {
        const auto& about = fleet.members[fleet.index_of(change.peer.node)];
        const bool was_silent = fleet.now < about.paused_until + alive_window;
        const bool is_suspicion = change.to == peer_state::suspect || change.to == peer_state::lost;
        count += is_suspicion && !was_silent ? 1U : 0U;
    };
    fleet.run_until(fleet.now + period);
    for (std::size_t round = 0; round < periods; ++round) {
        std::set<std::pair<std::size_t, std::size_t>> blocked;
        for (std::size_t link = 0; link < shape.nodes * shape.nodes / 10; ++link) {
            blocked.emplace(uniform_index(fleet.random, shape.nodes),
                            uniform_index(fleet.random, shape.nodes));
        }
        fleet.is_blocked = [blocked](std::size_t from, std::size_t to) {
            return blocked.contains({from, to});
        };
        auto& paused = fleet.members[uniform_index(fleet.random, shape.nodes)];
        paused.paused_until =
            fleet.now + std::chrono::milliseconds{500 + uniform_index(fleet.random, 7'500)};
        fleet.run_until(fleet.now + period);
    }
    return static_cast<double>(count);
}

record measure(const fleet_shape& shape, std::uint64_t first_seed, std::uint64_t runs)
{
    record worst{"false_suspicion",
                 shape.deployment,
                 "false_suspicion_" + std::to_string(shape.nodes) + "_nodes",
                 0,
                 "suspicions",
                 0,
                 bound_kind::at_most,
                 first_seed};
    const auto found = run_in_parallel(
        runs, [&](std::size_t index) { return count_suspicions(shape, first_seed + index); });
    for (std::size_t index = 0; index < found.size(); ++index) {
        if (found[index] > worst.value) {
            worst.value = found[index];
            worst.seed = first_seed + index;
        }
    }
    return worst;
}

const registration entry{{"false_suspicion", false, [](std::uint64_t seed) {
                              return std::vector<record>{measure(ledgerworks(6), seed, seeds),
                                                         measure(ledgerworks(24), seed, seeds),
                                                         measure(siamcite(27), seed, seeds),
                                                         measure(target(150), seed, seeds)};
                          }}};

} // namespace
} // namespace dragonflyroad::bench
