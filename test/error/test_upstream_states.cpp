#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "hello"), false, false};
}

bool body_contains(const raw_client::answer& answer, const std::string& text)
{
    return answer.body.find(text) != std::string::npos;
}

} // namespace

// Guards against a refusal without a reason, and against a wait for upstreams that do not exist.
TEST_CASE("a service without upstreams is refused at once")
{
    test_node fleet;
    fleet.start();
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text("GET", "/marks/1"));
    CHECK(answer.status == 503);
    CHECK(body_contains(answer, "\"reason\":\"no_healthy_upstream\""));
    CHECK(body_contains(answer, "\"decided_by\":\"system\""));
    CHECK(body_contains(answer, "\"ran\":\"no\""));
}

// Guards against new work for an upstream that is draining or has deregistered.
TEST_CASE("a draining upstream gets no new work")
{
    fake_upstream draining{answer_ok};
    fake_upstream other{answer_ok};
    test_node fleet;
    fleet.start();
    fleet.announce(draining.address());
    fleet.announce(other.address());
    fleet.announce(draining.address(), "draining");
    raw_client client{fleet.caller()};
    for (int round = 0; round < 10; ++round) {
        CHECK(client.exchange(request_text("GET", "/marks/1")).status == 200);
    }
    CHECK(draining.requests().empty());
    raw_client admin{fleet.admin()};
    CHECK(admin.exchange(request_text("DELETE", "/v1/upstreams/" + other.address(), "")).status ==
          200);
    CHECK(body_contains(client.exchange(request_text("GET", "/marks/1")), "no_healthy_upstream"));
}

// Guards against accepting an announcement that has an invalid, missing or unknown field.
TEST_CASE("invalid announcements are refused")
{
    test_node fleet;
    fleet.start();
    raw_client admin{fleet.admin()};
    for (const char* body :
         {"", "[]", "{", R"({"service":"marks"})",
          R"({"service":"marks","address":"host:1","slots":1,"state":"ready"})",
          R"({"service":"marks","address":"127.0.0.1:1","slots":0,"state":"ready"})",
          R"({"service":"marks","address":"127.0.0.1:1","slots":-1,"state":"ready"})",
          R"({"service":"marks","address":"127.0.0.1:1","slots":1,"state":"up"})",
          R"({"service":"marks","address":"127.0.0.1:1","slots":1,"state":"ready","x":1})"}) {
        CAPTURE(body);
        CHECK(admin.exchange(request_text("POST", "/v1/upstreams", "", body)).status == 400);
    }
}

// Guards against serving an organisation beyond its burst, and against a refusal that does not name
// the policy that decided it.
TEST_CASE("requests over the burst are refused by policy")
{
    fake_upstream upstream{answer_ok};
    test_node fleet;
    fleet.config.organisations.insert_or_assign(organisation_id{"acme"},
                                                {organisation_id{"acme"}, 0, 2, 1});
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    CHECK(client.exchange(request_text("GET", "/marks/1")).status == 200);
    CHECK(client.exchange(request_text("GET", "/marks/1")).status == 200);
    const auto answer = client.exchange(request_text("GET", "/marks/1"));
    CHECK(answer.status == 429);
    CHECK(body_contains(answer, "\"reason\":\"organisation_rate\""));
    CHECK(body_contains(answer, "\"decided_by\":\"policy\""));
    CHECK(body_contains(answer, "\"profile\":\"standard\""));
    CHECK(upstream.requests().size() == 2);
    raw_client admin{fleet.admin()};
    const auto metrics = admin.exchange(request_text("GET", "/metrics", ""));
    CHECK(body_contains(metrics,
                        "refusals_total{reason=\"organisation_rate\",decided_by=\"policy\"} 1\n"));
}
