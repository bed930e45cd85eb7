#include "bench/control_load.hpp"

#include <string>

namespace dragonflyroad::bench {
namespace {

constexpr duration change_interval = std::chrono::milliseconds{2'700};
constexpr duration restart_interval = std::chrono::milliseconds{6'600};

} // namespace

void run_under_changes(membership_fleet& fleet, duration time)
{
    fleet.on_membership_update = [&fleet](std::size_t node, const membership_update& news) {
        fleet.set_revision(node, news.revision);
    };
    const time_point end = fleet.now + time;
    revision_number revision = 0;
    for (time_point next = fleet.now; next < end; next += change_interval) {
        ++revision;
        fleet.at(next, [&fleet, revision] {
            const std::size_t node = uniform_index(fleet.random, fleet.members.size());
            fleet.set_revision(node, revision);
            fleet.announce(node, {upstream_id{"10.9.9.9:" + std::to_string(1'000 + revision)},
                                  service_name{"estimates"}, 7, announced_state::serving});
        });
    }
    for (time_point next = fleet.now + restart_interval; next < end; next += restart_interval) {
        fleet.at(next,
                 [&fleet] { fleet.restart(uniform_index(fleet.random, fleet.members.size())); });
    }
    fleet.run_until(end);
    fleet.on_membership_update = nullptr;
}

} // namespace dragonflyroad::bench
