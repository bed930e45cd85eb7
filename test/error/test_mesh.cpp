#include "test/support/mesh_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

// Guards against dispatch that works only within one VM. The upstream on the caller's VM is
// draining, so the request must go to the other VM.
TEST_CASE(
    "a request is served by the upstream of another VM and carries the organisation, not the key")
{
    mesh_fleet fleet{2};
    fleet.check_in(0, "draining", 2);
    const auto result = fleet.exchange(0, "POST");
    REQUIRE(result.end == client_exchange_outcome::answered);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "upstream-1");
    CHECK(fleet.vms[0].upstream->runs.empty());
    REQUIRE(fleet.vms[1].upstream->runs.size() == 1);
    const http_headers& headers = fleet.vms[1].upstream->runs.front().head.headers;
    CHECK(find_header(headers, "X-Tenant-Id") == "council");
    CHECK(count_headers(headers, "X-Tenant-Id") == 1);
    CHECK(find_header(headers, "X-Caller-Service") == "books");
    CHECK(find_header(headers, "X-Expected-Instance") == "upstream-1");
    CHECK_FALSE(find_header(headers, "Api-Key").has_value());
}

// Guards against a second run of a request that must not be repeated, after its upstream failed.
TEST_CASE("a failed run is repeated only when the route allows it")
{
    mesh_fleet fleet{2};
    for (const loopback_vm& vm : fleet.vms) {
        vm.upstream->behaviour = upstream_behaviour::fails;
    }
    CHECK(fleet.exchange(0, "POST").response.status == 500);
    CHECK(fleet.total_runs() == 1);
    CHECK(fleet.exchange(0, "GET").response.status == 500);
    CHECK(fleet.total_runs() == 3);
}

// Guards against refusing a request that another upstream can serve: a request that an upstream
// reports as not run is retried elsewhere, repeatable or not.
TEST_CASE("a request that an upstream refuses to run goes to another upstream")
{
    mesh_fleet fleet{2};
    fleet.vms[0].upstream->behaviour = upstream_behaviour::refuses;
    const auto result = fleet.exchange(0, "POST");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "upstream-1");
    CHECK(fleet.total_runs() == 1);
}

// Guards against reporting "not run" for a request that an upstream has accepted: without an answer
// the caller gets 504.
TEST_CASE("a run without an answer ends with 504, its outcome unknown")
{
    mesh_fleet fleet{1};
    fleet.vms[0].upstream->behaviour = upstream_behaviour::never_answers;
    const auto result = fleet.exchange(0, "POST");
    CHECK(result.response.status == 504);
    CHECK(fleet.total_runs() == 1);
}

// Guards against upstreams that keep working on a request after its caller has disconnected.
TEST_CASE("when a caller disconnects, its repeatable run is cancelled within half a second")
{
    mesh_fleet fleet{2};
    fleet.check_in(0, "draining", 2);
    fleet.vms[1].upstream->behaviour = upstream_behaviour::never_answers;
    const auto request = fleet.start(0, "GET", [](const client_exchange_result&) {});
    REQUIRE(fleet.run_until([&] { return fleet.total_runs() == 1; }));
    request->cancel();
    CHECK(fleet.run_until([&] { return fleet.vms[1].upstream->cancelled == 1; }, 500ms));
}

// Guards against work that is lost when a draining upstream stops.
TEST_CASE("a draining upstream gets no further requests")
{
    mesh_fleet fleet{2};
    fleet.check_in(1, "draining", 2);
    for (int request = 0; request < 10; ++request) {
        CHECK(fleet.exchange(1, "POST").response.status == 200);
    }
    CHECK(fleet.vms[1].upstream->runs.empty());
}

// Guards against requests that reach a leaving upstream for as long as it lives, because its clock
// went back before its last start and its reports count as late ones.
TEST_CASE("an upstream that restarted while its clock went back gets no work once it leaves")
{
    mesh_fleet fleet{2};
    fleet.check_in(1, "ready", 1, 3000);
    fleet.check_in(1, "ready", 1, 2000);
    SUBCASE("it says that it drains")
    {
        fleet.check_in(1, "draining", 2, 2000);
    }
    SUBCASE("it deregisters")
    {
        fleet.vms[1].node->deregister_upstream("upstream-1", 2000);
    }
    for (int request = 0; request < 10; ++request) {
        CHECK(fleet.exchange(1, "POST").response.status == 200);
    }
    CHECK(fleet.vms[1].upstream->runs.empty());
}

// Guards against withdrawn keys that are still accepted, and against a withdrawal that is reverted
// when an older version of the configuration is written again.
TEST_CASE("a withdrawn key stops working on every node")
{
    mesh_fleet fleet{2};
    CHECK(fleet.exchange(1, "GET").response.status == 200);
    fleet.configure("r2", {"other-key"});
    fleet.run_until([] { return false; }, 1s);
    CHECK(fleet.exchange(0, "GET").response.status == 401);
    CHECK(fleet.exchange(1, "GET").response.status == 401);
    fleet.configure("r1", {"first-key"});
    fleet.run_until([] { return false; }, 1s);
    CHECK(fleet.exchange(1, "GET").response.status == 401);
}

// Guards against accepting keys from an old configuration while the store is down, and against
// refusing all requests as soon as the store fails.
TEST_CASE(
    "without the store, keys are served while their proof is recent and then refused as not run")
{
    mesh_fleet fleet{1};
    fleet.store.set_down(true);
    CHECK(fleet.exchange(0, "GET").response.status == 200);
    fleet.run_until([] { return false; }, 5s);
    const auto refused = fleet.exchange(0, "GET");
    CHECK(refused.response.status == 503);
    CHECK(refused.response.body.find("\"ran\":\"no\"") != std::string::npos);
    fleet.store.set_down(false);
    CHECK(fleet.run_until([&] { return fleet.exchange(0, "GET").response.status == 200; }, 4s));
}

// Guards against a retry storm at a failing store: an entry that could not be written used to be
// retried ten times a second.
TEST_CASE("calls to a failing store back off, and the entry is written once it recovers")
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

// Guards against a planned stop that aborts requests.
TEST_CASE("a stopping node finishes its callers' requests and is not ready meanwhile")
{
    mesh_fleet fleet{2};
    fleet.vms[1].upstream->behaviour = upstream_behaviour::never_answers;
    fleet.check_in(0, "draining", 2);
    std::optional<client_exchange_result> result;
    fleet.start(0, "POST", [&](client_exchange_result end) { result = std::move(end); });
    REQUIRE(fleet.run_until([&] { return fleet.total_runs() == 1; }));
    bool is_stopped = false;
    fleet.vms[0].node->stop([&] { is_stopped = true; });
    CHECK_FALSE(fleet.vms[0].node->is_ready());
    CHECK(fleet.run_until([&] { return result.has_value(); }, 3s));
    CHECK(result->response.status == 504);
    CHECK(fleet.run_until([&] { return is_stopped; }, 6s));
}
