#include "test/support/mesh_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

// Guards against a path that works on one VM only: the upstream of the caller's VM takes no work
// here.
TEST_CASE(
    "a request is served by the upstream of another VM and carries the organisation, not the key")
{
    mesh_fleet fleet{2};
    fleet.check_in(0, "draining", 2);
    const auto result = fleet.ask(0, "POST");
    REQUIRE(result.end == exchange_end::answered);
    CHECK(result.answer.status == 200);
    CHECK(result.answer.body == "upstream-1");
    CHECK(fleet.vms[0].upstream->runs.empty());
    REQUIRE(fleet.vms[1].upstream->runs.size() == 1);
    const http_headers& headers = fleet.vms[1].upstream->runs.front().head.headers;
    CHECK(find_header(headers, "X-Tenant-Id") == "council");
    CHECK(count_headers(headers, "X-Tenant-Id") == 1);
    CHECK(find_header(headers, "X-Caller-Service") == "books");
    CHECK(find_header(headers, "X-Expected-Instance") == "upstream-1");
    CHECK_FALSE(find_header(headers, "Api-Key").has_value());
}

// Guards against a second run of work that may not be repeated after its upstream has failed.
TEST_CASE("a failed run is repeated when the route allows it and never otherwise")
{
    mesh_fleet fleet{2};
    for (const loopback_vm& vm : fleet.vms) {
        vm.upstream->mood = upstream_mood::fails;
    }
    CHECK(fleet.ask(0, "POST").answer.status == 500);
    CHECK(fleet.total_runs() == 1);
    CHECK(fleet.ask(0, "GET").answer.status == 500);
    CHECK(fleet.total_runs() == 3);
}

// Guards against a refusal for work that another upstream can do: what an upstream says it did not
// run goes elsewhere, whatever its kind.
TEST_CASE("work that an upstream refuses to run goes to another one")
{
    mesh_fleet fleet{2};
    fleet.vms[0].upstream->mood = upstream_mood::refuses;
    const auto result = fleet.ask(0, "POST");
    CHECK(result.answer.status == 200);
    CHECK(result.answer.body == "upstream-1");
    CHECK(fleet.total_runs() == 1);
}

// Guards against "not run" said of work that an upstream has taken: a silent upstream gives 504.
TEST_CASE("a run without an answer ends as unknown and leaves no promise")
{
    mesh_fleet fleet{1};
    fleet.vms[0].upstream->mood = upstream_mood::never_answers;
    const auto result = fleet.ask(0, "POST");
    CHECK(result.answer.status == 504);
    CHECK(fleet.total_runs() == 1);
}

// Guards against upstreams that go on working for callers that have left.
TEST_CASE("a caller's close ends its repeatable run at the upstream within half a second")
{
    mesh_fleet fleet{2};
    fleet.check_in(0, "draining", 2);
    fleet.vms[1].upstream->mood = upstream_mood::never_answers;
    const auto request = fleet.start(0, "GET", [](const exchange_result&) {});
    REQUIRE(fleet.run_until([&] { return fleet.total_runs() == 1; }));
    request->cancel();
    CHECK(fleet.run_until([&] { return fleet.vms[1].upstream->cancelled == 1; }, 500ms));
}

// Guards against new work at an upstream that has said that it leaves.
TEST_CASE("a draining upstream gets no request more")
{
    mesh_fleet fleet{2};
    fleet.check_in(1, "draining", 2);
    for (int request = 0; request < 10; ++request) {
        CHECK(fleet.ask(1, "POST").answer.status == 200);
    }
    CHECK(fleet.vms[1].upstream->runs.empty());
}

// Guards against withdrawn keys that go on working, and against a change that is undone later.
TEST_CASE("a withdrawn key stops working on every node")
{
    mesh_fleet fleet{2};
    CHECK(fleet.ask(1, "GET").answer.status == 200);
    fleet.configure("r2", {"other-key"});
    fleet.run_until([] { return false; }, 1s);
    CHECK(fleet.ask(0, "GET").answer.status == 401);
    CHECK(fleet.ask(1, "GET").answer.status == 401);
    fleet.configure("r1", {"first-key"});
    fleet.run_until([] { return false; }, 1s);
    CHECK(fleet.ask(1, "GET").answer.status == 401);
}

// Guards against keys that are served on an old configuration while the store is away, and against
// serving nothing at once.
TEST_CASE(
    "without the store keys are served while the proof is recent and refused as not run after")
{
    mesh_fleet fleet{1};
    fleet.store.set_down(true);
    CHECK(fleet.ask(0, "GET").answer.status == 200);
    fleet.run_until([] { return false; }, 5s);
    const auto refused = fleet.ask(0, "GET");
    CHECK(refused.answer.status == 503);
    CHECK(refused.answer.body.find("\"ran\":\"no\"") != std::string::npos);
    fleet.store.set_down(false);
    CHECK(fleet.run_until([&] { return fleet.ask(0, "GET").answer.status == 200; }, 4s));
}

// Guards against a storm of calls at a store that refuses them: an entry that could not be written
// used to be tried ten times a second.
TEST_CASE("calls to a store that refuses them become rare, and the entry is back after its return")
{
    mesh_fleet fleet{1};
    fleet.store.set_down(true);
    const std::size_t before = fleet.store.commits();
    fleet.check_in(0, "draining", 2);
    fleet.check_in(0, "ready", 3);
    fleet.run_until([] { return false; }, 4s);
    CHECK(fleet.store.commits() - before <= 8);
    fleet.store.set_down(false);
    const std::size_t refused = fleet.store.commits();
    CHECK(fleet.run_until([&] { return fleet.store.commits() > refused; }, 2s));
}

// Guards against requests that are cut by a planned stop.
TEST_CASE("a stopping node lets its callers' requests end and is not ready meanwhile")
{
    mesh_fleet fleet{2};
    fleet.vms[1].upstream->mood = upstream_mood::never_answers;
    fleet.check_in(0, "draining", 2);
    std::optional<exchange_result> result;
    fleet.start(0, "POST", [&](exchange_result end) { result = std::move(end); });
    REQUIRE(fleet.run_until([&] { return fleet.total_runs() == 1; }));
    bool is_stopped = false;
    fleet.vms[0].node->stop([&] { is_stopped = true; });
    CHECK_FALSE(fleet.vms[0].node->is_ready());
    CHECK(fleet.run_until([&] { return result.has_value(); }, 3s));
    CHECK(result->answer.status == 504);
    CHECK(fleet.run_until([&] { return is_stopped; }, 6s));
}
