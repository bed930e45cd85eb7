#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

// Guards against keys that reach an upstream, and against clients that choose their organisation.
TEST_CASE("an upstream gets the organisation of the key, and never the key")
{
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(request_text(
        "GET", "/marks/1?a=%2Fb",
        "Authorization: Bearer acme-key\r\nX-Organisation: other\r\nX-Deadline-Ms: 1\r\n"
        "X-Request-Id: mine\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Kept: yes\r\n"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "hello");
    REQUIRE(upstream.requests().size() == 1);
    const std::string request = upstream.requests().front();
    CHECK(request.starts_with("GET /marks/1?a=%2Fb HTTP/1.1\r\n"));
    CHECK(request.find("X-Organisation: acme\r\n") != std::string::npos);
    CHECK(request.find("X-Request-Id: node-1-abc-1\r\n") != std::string::npos);
    CHECK(request.find("X-Kept: yes\r\n") != std::string::npos);
    for (const char* text :
         {"acme-key", "Authorization", "other", "mine", "X-Private", "X-Deadline-Ms: 1\r\n"}) {
        CHECK_MESSAGE(request.find(text) == std::string::npos, text);
    }
}
