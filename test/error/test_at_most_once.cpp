#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const std::string key_header = "Authorization: Bearer acme-key\r\n";

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "hello"), false, false};
}

fake_upstream::reply close_without_answer(const std::string&)
{
    return {"", true, false};
}

fake_upstream::reply answer_not_run(const std::string&)
{
    return {plain_answer(503, "busy", "X-Not-Run: true\r\n"), false, false};
}

bool body_contains(const raw_client::answer& answer, const std::string& text)
{
    return answer.body.find(text) != std::string::npos;
}

} // namespace

// Guards against a second run of a request when it is unknown whether the first one ran.
TEST_CASE("an unsafe request is not sent again when its upstream dies")
{
    fake_upstream first{close_without_answer};
    fake_upstream second{close_without_answer};
    test_node fleet;
    fleet.start();
    fleet.announce(first.address());
    fleet.announce(second.address());
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text("POST", "/marks/1", key_header, "mark"));
    CHECK(answer.status == 502);
    CHECK(body_contains(answer, "\"reason\":\"upstream_failed\""));
    CHECK(body_contains(answer, "\"ran\":\"unknown\""));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

// Guards against a second run after a kept-alive connection breaks: the upstream may have read the
// request before it closed the connection.
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
    CHECK(client.exchange(request_text("POST", "/marks/1", key_header, "mark")).status == 200);
    const auto answer = client.exchange(request_text("POST", "/marks/1", key_header, "mark"));
    CHECK(body_contains(answer, "\"ran\":\"unknown\""));
    CHECK(upstream.requests().size() == 2);
    // The second request ran on the connection of the first one.
    CHECK(connections == 1);
}

// Guards against refusing a request that certainly did not run and that another upstream can serve.
TEST_CASE("an unsafe request goes to another upstream after a failed connect or X-Not-Run")
{
    fake_upstream gone{answer_ok};
    gone.stop();
    fake_upstream busy{answer_not_run};
    fake_upstream good{answer_ok};
    test_node fleet;
    fleet.rules().retry_budget = 2;
    fleet.start();
    fleet.announce(gone.address());
    fleet.announce(busy.address());
    fleet.announce(good.address());
    raw_client client{fleet.caller()};
    for (int round = 0; round < 4; ++round) {
        CHECK(client.exchange(request_text("POST", "/marks/1", key_header, "mark")).body ==
              "hello");
    }
    CHECK(good.requests().size() == 4);
}

// Guards against a refusal with `ran: unknown` although every upstream answered that it had not run
// the request.
TEST_CASE("the refusal says not run when every upstream refused the work")
{
    fake_upstream busy{answer_not_run};
    test_node fleet;
    fleet.start();
    fleet.announce(busy.address());
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text("POST", "/marks/1", key_header, "mark"));
    CHECK(answer.status == 503);
    CHECK(body_contains(answer, "\"reason\":\"upstream_refused\""));
    CHECK(body_contains(answer, "\"ran\":\"no\""));
}

// Guards against a repeatable request that fails while another upstream could serve it.
TEST_CASE("a repeatable request is tried on another upstream")
{
    fake_upstream bad{close_without_answer};
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

// Guards against running a client's retry while the first request runs or after it has run.
TEST_CASE("a repeated Idempotency-Key is refused")
{
    fake_upstream upstream{answer_ok};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    const std::string request =
        request_text("POST", "/marks/1", key_header + "Idempotency-Key: k1\r\n", "mark");
    CHECK(client.exchange(request).status == 200);
    const auto answer = client.exchange(request);
    CHECK(answer.status == 409);
    CHECK(body_contains(answer, "\"reason\":\"repeat_done\""));
    CHECK(body_contains(answer, "\"ran\":\"yes\""));
    CHECK(upstream.requests().size() == 1);
}
