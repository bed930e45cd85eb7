#include "test/support/mesh_fleet.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// The VMs of a mesh_fleet lie in two data centres by turns.
constexpr const char* ikeja = "op/evacuate/ikeja";
constexpr const char* lekki = "op/evacuate/lekki";

constexpr std::chrono::milliseconds stop_timeout{700};

/// Time for a change in the store to reach every node.
constexpr std::chrono::milliseconds spread_time{1'200};

void pass(mesh_fleet& fleet, std::chrono::milliseconds time)
{
    fleet.run_until([] { return false; }, time);
}

std::size_t runs_in(const mesh_fleet& fleet, std::size_t first_vm)
{
    std::size_t runs = 0;
    for (std::size_t vm = first_vm; vm < fleet.vms.size(); vm += 2) {
        runs += fleet.vms[vm].upstream->runs.size();
    }
    return runs;
}

std::size_t served_from_all(mesh_fleet& fleet, int rounds)
{
    std::size_t served = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            served += fleet.exchange(vm, "GET").response.status == 200 ? 1 : 0;
        }
    }
    return served;
}

} // namespace

// Guards against work for an evacuated data centre (rule EVAC, broken 523 times on a day on which
// nothing read the request), from its own callers as well, and against data centres that get none
// after the request was taken back.
TEST_CASE("an evacuated data centre gets no request until that is taken back")
{
    mesh_fleet fleet{4};
    fleet.store.put(lekki, "{}");
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 3) == 12);
    CHECK(runs_in(fleet, 1) == 0);
    fleet.store.remove(lekki);
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 3) == 12);
    CHECK(runs_in(fleet, 1) > 0);
}

// Guards against a state left over when an operator changes their mind, and when data centres are
// evacuated in turn.
TEST_CASE("the latest request of the operators counts")
{
    mesh_fleet fleet{4};
    fleet.store.put(lekki, "{}");
    fleet.store.remove(lekki);
    fleet.store.put(lekki, "{}");
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 2) == 8);
    CHECK(runs_in(fleet, 1) == 0);
    fleet.store.remove(lekki);
    fleet.store.put(ikeja, "{}");
    pass(fleet, spread_time);
    const std::size_t before = runs_in(fleet, 0);
    CHECK(served_from_all(fleet, 2) == 8);
    CHECK(runs_in(fleet, 0) == before);
    CHECK(runs_in(fleet, 1) == 8);
}

// Guards against a hang or a wrong status when no data centre is left: the request has not run, and
// the reason names the operators' decision.
TEST_CASE("with every data centre evacuated, requests are refused truthfully")
{
    mesh_fleet fleet{2};
    fleet.store.put(ikeja, "{}");
    fleet.store.put(lekki, "{}");
    pass(fleet, spread_time);
    const auto refused = fleet.exchange(0, "POST");
    CHECK(refused.response.status == 503);
    CHECK(refused.response.body.find("\"reason\":\"data_centres_evacuated\"") != std::string::npos);
    CHECK(refused.response.body.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(fleet.total_runs() == 0);
    fleet.store.remove(ikeja);
    pass(fleet, spread_time);
    CHECK(fleet.exchange(0, "POST").response.status == 200);
}

// Guards against work that waited at an upstream when its data centre was evacuated and is sent
// later, and against cutting runs that had begun.
TEST_CASE("on evacuation, open runs are completed and waiting requests go elsewhere")
{
    mesh_fleet fleet{2};
    fleet.check_in(0, "draining", 2);
    pass(fleet, 300ms);
    fleet.vms[1].upstream->behaviour = upstream_behaviour::answers_late;
    std::vector<int> statuses;
    // The upstream has two slots and answers after 400 ms.
    for (int request = 0; request < 8; ++request) {
        fleet.start(0, "POST", [&](const client_exchange_result& end) {
            statuses.push_back(end.response.status);
        });
    }
    REQUIRE(fleet.run_until([&] { return fleet.total_runs() == 2; }));
    fleet.store.put(lekki, "{}");
    REQUIRE(fleet.run_until([&] { return statuses.size() == 8; }));
    CHECK(std::ranges::count(statuses, 200) == 2);
    CHECK(std::ranges::count(statuses, 503) == 6);
    CHECK(fleet.total_runs() == 2);
}

// Guards against a node that starts again during an evacuation and sends work to its upstream
// because it does not know of it yet, also while the store is away.
TEST_CASE("an evacuation outlasts a restart of a node and an outage of the store")
{
    mesh_fleet fleet{4, stop_timeout};
    fleet.store.put(lekki, "{}");
    pass(fleet, spread_time);
    fleet.store.set_down(true);
    fleet.restart_node(1);
    fleet.check_in(1, "ready", 2);
    CHECK(served_from_all(fleet, 2) >= 6);
    CHECK(runs_in(fleet, 1) == 0);
    fleet.store.set_down(false);
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 2) == 8);
    CHECK(runs_in(fleet, 1) == 0);
    fleet.store.remove(lekki);
    pass(fleet, spread_time);
    for (std::size_t vm = 0; vm < 4; vm += 2) {
        fleet.check_in(vm, "draining", 3);
    }
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 2) == 8);
    CHECK(fleet.vms[1].upstream->runs.size() > 0);
}

// Guards against an evacuation that is lost, or never ends, when it was changed while a data
// centre was without power: its nodes start again after the change.
TEST_CASE("a data centre whose nodes were away during the change follows the latest request")
{
    mesh_fleet fleet{4, stop_timeout};
    fleet.store.put(lekki, "{}");
    pass(fleet, spread_time);
    fleet.restart_node(1);
    fleet.restart_node(3);
    fleet.store.remove(lekki);
    fleet.store.put(ikeja, "{}");
    for (std::size_t vm = 1; vm < 4; vm += 2) {
        fleet.check_in(vm, "ready", 1, 2000);
    }
    pass(fleet, spread_time);
    CHECK(served_from_all(fleet, 2) == 8);
    CHECK(runs_in(fleet, 0) == 0);
}

// Guards against a late report of an upstream that has left, which reaches a later process of the
// node beside it and would bring the upstream back into use (rule DRAIN).
TEST_CASE("a restarted node ignores a late report of an upstream that had left")
{
    mesh_fleet fleet{2, stop_timeout};
    fleet.vms[0].node->deregister_upstream("upstream-0");
    REQUIRE(fleet.run_until([&] { return fleet.store.count("dragonflyroad/left/") == 1; }));
    fleet.restart_node(0);
    fleet.check_in(0, "ready", 2);
    pass(fleet, spread_time);
    for (int request = 0; request < 4; ++request) {
        CHECK(fleet.exchange(0, "GET").response.body == "upstream-1");
    }
    CHECK(fleet.vms[0].upstream->runs.empty());
    // The next lifetime with the same id is used.
    fleet.check_in(0, "ready", 1, 2000);
    fleet.check_in(1, "draining", 2);
    pass(fleet, spread_time);
    CHECK(fleet.exchange(0, "GET").response.body == "upstream-0");
}
