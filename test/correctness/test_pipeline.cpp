#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

// Guards against API keys that are forwarded to an upstream, and against clients that set their own
// organisation.
TEST_CASE("an upstream receives the organisation of the key, but never the key")
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

// Guards against responses that are buffered whole in memory, altered or truncated.
TEST_CASE("a large response is streamed unchanged")
{
    std::string body;
    for (int block = 0; block < 4'000; ++block) {
        body += std::string(4'096, static_cast<char>('a' + block % 26));
    }
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 40'960) {
        chunked += "a000\r\n" + body.substr(at, 40'960) + "\r\n";
    }
    chunked += "0\r\nX-Trailer: a\r\n\r\n";
    fake_upstream upstream{[&](const std::string& request) {
        const bool is_chunked = request.find("/marks/chunked") != std::string::npos;
        return fake_upstream::reply{is_chunked ? chunked : plain_answer(200, body), false, false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    for (const char* target : {"/marks/chunked", "/marks/plain", "/marks/chunked"}) {
        const auto answer = client.exchange(request_text("GET", target));
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.is_cut);
        CHECK(answer.body == body);
    }
    CHECK(upstream.connections() == 1);
}

// Guards against routing decisions that operators cannot trace afterwards.
TEST_CASE("the admin port explains a request by its id")
{
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    client.exchange(request_text("GET", "/marks/1?secret=1"));
    raw_client admin{fleet.admin()};
    // The record is written after the response has been sent.
    const time_point limit = boot_clock::now() + std::chrono::seconds{20};
    raw_client::answer found;
    do {
        found = admin.exchange(request_text("GET", "/v1/explain/node-1-abc-1", ""));
    } while (found.status == 404 && boot_clock::now() < limit);
    CHECK(found.body.find("\"result\":\"answered\"") != std::string::npos);
    CHECK(found.body.find("\"organisation\":\"acme\"") != std::string::npos);
    CHECK(found.body.find("upstream=" + upstream.address() + " end=complete") != std::string::npos);
    CHECK(found.body.find("secret") == std::string::npos);
    CHECK(admin.exchange(request_text("GET", "/v1/explain/unknown", "")).status == 404);
}
