#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>
#include <utility>
#include <vector>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const std::string key_header = "Authorization: Bearer acme-key\r\n";

fake_upstream::reply answer_ok(const std::string&)
{
    return {plain_answer(200, "hello"), false, false};
}

/// Sends the bytes on a new connection. Checks that the node refuses them with this status and
/// reason, and closes the connection.
void expect_refusal(const test_node& fleet, const std::string& bytes, int status,
                    const std::string& reason)
{
    CAPTURE(bytes.substr(0, 200));
    raw_client client{fleet.caller()};
    const auto answer = client.exchange(bytes);
    CHECK(answer.status == status);
    CHECK(answer.body.find("\"reason\":\"" + reason + "\"") != std::string::npos);
    CHECK(answer.body.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(client.is_closed_by_server());
}

} // namespace

// Guards against request smuggling: a request that the node and an upstream could parse differently
// must not be forwarded.
TEST_CASE("ambiguous and malformed requests are refused and never forwarded")
{
    fake_upstream upstream{answer_ok};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    const std::string start = "POST /marks/1 HTTP/1.1\r\nHost: node\r\n" + key_header;
    const std::vector<std::string> cases{
        start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked, gzip\r\n\r\n",
        start + "Content-Length: +3\r\n\r\nabc",
        start + "Content-Length: 3, 3\r\n\r\nabc",
        start + "Content-Length: -1\r\n\r\n",
        start + "X-Value: a\x01z\r\n\r\n",
        start + "X Name: a\r\n\r\n",
        start + "Bad(Name): a\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
        "GET /marks/../secret HTTP/1.1\r\nHost: node\r\n" + key_header + "\r\n",
        "GET /marks/%2e%2E/secret HTTP/1.1\r\nHost: node\r\n" + key_header + "\r\n",
        "GET /marks/\x80 HTTP/1.1\r\nHost: node\r\n" + key_header + "\r\n",
        "GET http://node/marks/1 HTTP/1.1\r\nHost: node\r\n" + key_header + "\r\n",
        "CONNECT node:80 HTTP/1.1\r\nHost: node\r\n" + key_header + "\r\n",
        "GET /marks/1 HTTP/1.1\r\n" + key_header + "\r\n",
        "GET /marks/1 HTTP/1.0\r\nHost: node\r\n" + key_header + "\r\n",
    };
    for (const std::string& bytes : cases) {
        expect_refusal(fleet, bytes, 400, "malformed_request");
    }
    raw_client client{fleet.caller()};
    CHECK(client.exchange(request_text("GET", "/marks/1", key_header + key_header)).status == 400);
    CHECK(upstream.requests().empty());
    // The node still serves a well-formed request.
    CHECK(client.exchange(request_text("POST", "/marks/1", key_header, "abc")).body == "hello");
}

// Guards against headers that the server library drops silently beyond its limit of 64; a second
// Content-Length could be among them.
TEST_CASE("oversized headers are refused")
{
    test_node fleet;
    fleet.start();
    std::string many = "GET /marks/1 HTTP/1.1\r\nHost: node\r\n" + key_header;
    for (int number = 0; number < 80; ++number) {
        many += "X-Header-" + std::to_string(number) + ": a\r\n";
    }
    expect_refusal(fleet, many + "\r\n", 431, "header_too_large");
    const std::string large(40'000, 'a');
    expect_refusal(fleet, "GET /marks/1 HTTP/1.1\r\nHost: node\r\nX-Large: " + large + "\r\n\r\n",
                   431, "header_too_large");
}

// Guards against reading a body into memory that is larger than the profile allows.
TEST_CASE("oversized bodies are refused, with Content-Length or chunked")
{
    test_node fleet;
    fleet.rules().max_body_bytes = 1'000;
    fleet.start();
    const std::string start = "POST /marks/1 HTTP/1.1\r\nHost: node\r\n" + key_header;
    expect_refusal(fleet, start + "Content-Length: 1001\r\n\r\n", 413, "body_too_large");
    expect_refusal(fleet,
                   start + "Transfer-Encoding: chunked\r\n\r\n400\r\n" + std::string(1024, 'a') +
                       "\r\n",
                   413, "body_too_large");
}

// Guards against clients that occupy a worker by sending slowly.
TEST_CASE("a request that is not sent in time is refused")
{
    test_node fleet;
    fleet.adjust = [](node_builder& builder) {
        builder.with_request_timeout(std::chrono::milliseconds{200});
    };
    fleet.start();
    expect_refusal(fleet,
                   "POST /marks/1 HTTP/1.1\r\nHost: node\r\n" + key_header +
                       "Content-Length: 9\r\n\r\nabc",
                   400, "malformed_request");
    // The server takes a request line that it cannot read for incomplete and waits for the rest.
    expect_refusal(fleet, "nonsense\r\n\r\n", 400, "malformed_request");
    raw_client silent{fleet.caller()};
    silent.send("GET /marks/1 HT");
    silent.receive();
    CHECK(silent.is_closed_by_server());
}
