#include "bench/control_load.hpp"
#include "bench/record.hpp"

#include <ctime>

namespace dragonflyroad::bench {
namespace {

constexpr double bound_percent = 2.8;

double thread_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// CPU time of the whole loop per node and second of the fleet's time; includes the loop itself but
/// not the system calls of sending and receiving.
record measure(const fleet_shape& shape, std::uint64_t seed)
{
    constexpr std::chrono::seconds time{10};
    membership_fleet fleet{shape, seed};
    fleet.run_until(fleet.now + std::chrono::seconds{3});
    const double before = thread_seconds();
    run_under_changes(fleet, time);
    const double used = thread_seconds() - before;
    const double percent = 100 * used / static_cast<double>(shape.nodes * time.count());
    return {"control_cpu",
            shape.deployment,
            "control_cpu_" + std::to_string(shape.nodes) + "_nodes",
            percent,
            "%",
            bound_percent,
            bound_kind::at_most,
            seed};
}

const registration entry{{"control_cpu", true, [](std::uint64_t seed) {
                              return std::vector<record>{measure(ledgerworks(24), seed),
                                                         measure(siamcite(27), seed),
                                                         measure(target(150), seed)};
                          }}};

} // namespace
} // namespace dragonflyroad::bench
