#include "test/support/mesh_fleet.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A cold upstream tolerates 6 requests a second, so it may get 6 * 1.5 + 2 = 11 in any second.
constexpr double cold_per_second = 6;
constexpr std::size_t bound = 11;

void configure_cold_limit(mesh_fleet& fleet)
{
    const nlohmann::json route{
        {"host", "books.example"}, {"prefix", "/read/"},        {"kind", "safe"},
        {"timeout", "2s"},         {"latency_objective", "1s"}, {"priority", 1},
        {"service", "books"},      {"max_attempts", 2},         {"public", true}};
    const nlohmann::json document{
        {"version", "r2"},
        {"routes", {{"read", route}}},
        {"services", {{"books", {{"cold_start", "3s"}, {"cold_per_s", cold_per_second}}}}}};
    fleet.store.put("op/config", document.dump());
    fleet.run_until([] { return false; }, 1'500ms);
}

/// Sends requests from all nodes for `time`, a few at once each 20 ms, and returns when they
/// arrived at the upstream of VM 0.
std::vector<time_point> send_from_all(mesh_fleet& fleet, std::chrono::milliseconds time)
{
    std::vector<time_point> arrivals;
    const time_point end = boot_clock::now() + time;
    while (boot_clock::now() < end) {
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            fleet.start(vm, "GET", [](const client_exchange_result&) {});
        }
        const time_point next = boot_clock::now() + 20ms;
        while (boot_clock::now() < next) {
            fleet.context.run_for(2ms);
            arrivals.resize(fleet.vms[0].upstream->runs.size(), boot_clock::now());
        }
    }
    return arrivals;
}

std::size_t most_in_a_second(const std::vector<time_point>& times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::ranges::upper_bound(first, times.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

// Guards against a crowd at an upstream that has just come back: every node has its own view of it,
// and together they send far more than it tolerates (rule FAILBACK). Guards as well against leaving
// it without work.
TEST_CASE("many nodes together send a cold upstream no more than it tolerates, and never nothing")
{
    mesh_fleet fleet{4};
    configure_cold_limit(fleet);
    for (std::size_t vm = 1; vm < 4; ++vm) {
        fleet.check_in(vm, "draining", 2);
    }
    fleet.check_in(0, "ready", 1, 2000, "8s");
    fleet.run_until([] { return false; }, 1'200ms);
    const auto arrivals = send_from_all(fleet, 3s);
    CHECK(most_in_a_second(arrivals) <= bound);
    CHECK(arrivals.size() >= 3 * static_cast<std::size_t>(cold_per_second) - 6);
}

// Guards against a second bound's worth of requests from a new process of the node beside a cold
// upstream.
TEST_CASE("a restart of the node beside a cold upstream does not double its work")
{
    mesh_fleet fleet{3, 100ms};
    configure_cold_limit(fleet);
    for (std::size_t vm = 1; vm < 3; ++vm) {
        fleet.check_in(vm, "draining", 2);
    }
    fleet.check_in(0, "ready", 1, 2000, "8s");
    fleet.run_until([] { return false; }, 1'200ms);
    auto arrivals = send_from_all(fleet, 1s);
    const std::size_t before = arrivals.size();
    fleet.restart_node(0);
    fleet.check_in(0, "ready", 2, 2000, "6s");
    const auto later = send_from_all(fleet, 3s);
    arrivals.insert(arrivals.end(), later.begin() + static_cast<std::ptrdiff_t>(before),
                    later.end());
    CHECK(most_in_a_second(arrivals) <= bound);
    CHECK(later.size() > before + 3);
}
