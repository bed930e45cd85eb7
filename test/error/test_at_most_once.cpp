#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const std::string key = "Authorization: Bearer acme-key\r\n";

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "hello"), false, false};
}

fake_upstream::reply die(const std::string&)
{
    return {"", true, false};
}

fake_upstream::reply refuse_work(const std::string&)
{
    return {plain_answer(503, "busy", "X-Not-Run: true\r\n"), false, false};
}

bool has(const raw_client::answer& answer, const std::string& text)
{
    return answer.body.find(text) != std::string::npos;
}

} // namespace

// Guards against a second run of a request whose first run is unknown.
TEST_CASE("an unsafe request is not sent again when its upstream dies")
{
    fake_upstream first{die};
    fake_upstream second{die};
    test_node fleet;
    fleet.start();
    fleet.announce(first.address());
    fleet.announce(second.address());
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text("POST", "/marks/1", key, "mark"));
    CHECK(answer.status == 502);
    CHECK(has(answer, "\"reason\":\"upstream_failed\""));
    CHECK(has(answer, "\"ran\":\"unknown\""));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

// Guards against an unsafe request on a kept connection that the upstream has just closed: whether
// it was read cannot be known.
TEST_CASE("an unsafe request is not sent again when its kept connection breaks")
{
    int count = 0;
    std::size_t connections = 0;
    fake_upstream upstream{[&](const std::string&) {
        connections = upstream.connections();
        return ++count == 1 ? answer_ok("") : fake_upstream::reply{"", false, true};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    CHECK(client.exchange(request_text("POST", "/marks/1", key, "mark")).status == 200);
    const auto answer = client.exchange(request_text("POST", "/marks/1", key, "mark"));
    CHECK(has(answer, "\"ran\":\"unknown\""));
    CHECK(upstream.requests().size() == 2);
    // The second request ran on the connection of the first one.
    CHECK(connections == 1);
}

// Guards against refusing work that provably did not run.
TEST_CASE("an unsafe request goes to another upstream after a failed connect or X-Not-Run")
{
    fake_upstream gone{answer_ok};
    gone.stop();
    fake_upstream busy{refuse_work};
    fake_upstream good{answer_ok};
    test_node fleet;
    fleet.rules().retry_budget = 2;
    fleet.start();
    fleet.announce(gone.address());
    fleet.announce(busy.address());
    fleet.announce(good.address());
    raw_client client{fleet.caller()};
    for (int round = 0; round < 4; ++round) {
        CHECK(client.exchange(request_text("POST", "/marks/1", key, "mark")).body == "hello");
    }
    CHECK(good.requests().size() == 4);
}

// Guards against `ran: unknown` where every upstream said that nothing ran.
TEST_CASE("the refusal says not run when every upstream refused the work")
{
    fake_upstream busy{refuse_work};
    test_node fleet;
    fleet.start();
    fleet.announce(busy.address());
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text("POST", "/marks/1", key, "mark"));
    CHECK(answer.status == 503);
    CHECK(has(answer, "\"reason\":\"upstream_refused\""));
    CHECK(has(answer, "\"ran\":\"no\""));
}

// Guards against a repeatable request that fails although another upstream could serve it.
TEST_CASE("a repeatable request is tried on another upstream")
{
    fake_upstream bad{die};
    fake_upstream good{answer_ok};
    test_node fleet;
    fleet.start();
    fleet.announce(bad.address());
    fleet.announce(good.address());
    raw_client client{fleet.caller()};
    for (int round = 0; round < 3; ++round) {
        CHECK(client.exchange(request_text("GET", "/marks/1")).body == "hello");
    }
}

// Guards against a client retry that runs while the first request runs or after it has run.
TEST_CASE("a repeated Idempotency-Key is refused")
{
    fake_upstream upstream{answer_ok};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    const std::string request =
        request_text("POST", "/marks/1", key + "Idempotency-Key: k1\r\n", "mark");
    CHECK(client.exchange(request).status == 200);
    const auto answer = client.exchange(request);
    CHECK(answer.status == 409);
    CHECK(has(answer, "\"reason\":\"repeat_done\""));
    CHECK(has(answer, "\"ran\":\"yes\""));
    CHECK(upstream.requests().size() == 1);
}
