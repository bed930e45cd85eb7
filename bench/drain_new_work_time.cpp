#include "bench/membership_fleet.hpp"
#include "bench/record.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

constexpr std::uint64_t seeds = 20;
constexpr double bound_seconds = 3;

/// Returns the seconds until all members know that an upstream is draining, at most 10.
double measure_drain(membership_fleet& fleet, std::uint64_t seed)
{
    fleet.random.seed(seed);
    const std::size_t announcer = uniform_index(fleet.random, fleet.members.size());
    local_upstream_state offer{upstream_id{"10.9.9.9:" + std::to_string(seed)},
                               service_name{"estimates"}, 7, announced_state::serving};
    fleet.members[announcer].membership->announce(offer, fleet.now);
    fleet.run_until(fleet.now + std::chrono::milliseconds{2'500});
    std::size_t missing = fleet.members.size() - 1;
    const time_point drained = fleet.now;
    time_point completed = time_point::max();
    fleet.on_membership_update = [&](std::size_t, const membership_update& news) {
        for (const upstream_record& record : news.upstreams) {
            const bool is_drain =
                record.upstream == offer.upstream && record.state == announced_state::draining;
            if (is_drain && --missing == 0) {
                completed = fleet.now;
            }
        }
    };
    fleet.at(fleet.now, [&fleet, announcer, offer]() mutable {
        offer.state = announced_state::draining;
        fleet.announce(announcer, offer);
    });
    const time_point end = drained + std::chrono::seconds{10};
    while (completed == time_point::max() && fleet.now < end) {
        fleet.run_until(fleet.now + std::chrono::milliseconds{10});
    }
    fleet.on_membership_update = nullptr;
    return std::chrono::duration<double>(std::min(completed, end) - drained).count();
}

record measure(const fleet_shape& shape, std::uint64_t first_seed)
{
    record worst{"drain_new_work_time",
                 shape.deployment,
                 "drain_new_work_time_" + std::to_string(shape.nodes) + "_nodes",
                 0,
                 "s",
                 bound_seconds,
                 bound_kind::at_most,
                 first_seed};
    membership_fleet fleet{shape, first_seed};
    fleet.run_until(fleet.now + std::chrono::seconds{3});
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const double seconds = measure_drain(fleet, seed);
        if (seconds >= worst.value) {
            worst.value = seconds;
            worst.seed = seed;
        }
    }
    return worst;
}

const registration entry{{"drain_new_work_time", false, [](std::uint64_t seed) {
                              // At the target scale 90 nodes receive the announcements of a
                              // service.
                              return std::vector<record>{
                                  measure(ledgerworks(6), seed), measure(siamcite(6), seed),
                                  measure(ledgerworks(24), seed), measure(siamcite(27), seed),
                                  measure(target(90), seed)};
                          }}};

} // namespace
} // namespace dragonflyroad::bench
