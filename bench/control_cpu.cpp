#include "bench/capacity.hpp"
#include "bench/control_load.hpp"
#include "bench/record.hpp"

#include <ctime>
#include <tuple>

namespace dragonflyroad::bench {
namespace {

constexpr double bound_percent = 2.8;

double thread_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// Measures the CPU time of the simulated fleet, in percent of one core per node. Includes the
/// simulation's event loop, but not the system calls that send and receive.
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

/// Runs the load of measure(). Returns the rate and CPU time of ticks and of received datagrams,
/// and the CPU percentage of both without the simulation's event loop.
std::vector<record> measure_parts(const fleet_shape& shape, std::uint64_t seed)
{
    constexpr std::chrono::seconds time{10};
    constexpr double microsecond = 1e-6;
    membership_fleet fleet{shape, seed};
    fleet.run_until(fleet.now + std::chrono::seconds{3});
    fleet.cpu_seconds = thread_seconds;
    run_under_changes(fleet, time);
    const auto make = [&](const std::string& measure, double value, const char* unit) {
        return record{"control_cpu",
                      shape.deployment,
                      measure + "_" + std::to_string(shape.nodes) + "_nodes",
                      value,
                      unit,
                      0,
                      bound_kind::none,
                      seed};
    };
    const auto per_second = [&](std::uint64_t count) {
        return static_cast<double>(count) / static_cast<double>(shape.nodes * time.count());
    };
    const auto& [ticks, datagrams] = std::tie(fleet.ticks, fleet.received);
    return {make("tick_time", ticks.seconds / static_cast<double>(ticks.count) / microsecond, "us"),
            make("ticks", per_second(ticks.count), "1/s"),
            make("datagram_time",
                 datagrams.seconds / static_cast<double>(datagrams.count) / microsecond, "us"),
            make("datagrams", per_second(datagrams.count), "1/s"),
            make("control_cpu",
                 100 * (ticks.seconds + datagrams.seconds) /
                     static_cast<double>(shape.nodes * time.count()),
                 "%")};
}

const registration entry{{"control_cpu", true, [](std::uint64_t seed) {
                              return std::vector<record>{measure(ledgerworks(24), seed),
                                                         measure(siamcite(27), seed),
                                                         measure(target(150), seed)};
                          }}};

} // namespace

std::vector<record> control_cpu_at_target(std::uint64_t seed)
{
    std::vector<record> records;
    for (const std::size_t nodes : {24U, 150U, 2'100U}) {
        const auto some = measure_parts(target(nodes), seed);
        records.insert(records.end(), some.begin(), some.end());
    }
    return records;
}

} // namespace dragonflyroad::bench
