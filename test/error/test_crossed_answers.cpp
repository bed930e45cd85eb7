#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const std::string key_header = "Authorization: Bearer acme-key\r\n";

bool body_contains(const raw_client::answer& answer, const std::string& text)
{
    return answer.body.find(text) != std::string::npos;
}

} // namespace

// Guards against an answer that arrives after its deadline and is matched to the next request on
// the same connection.
TEST_CASE("a late answer never reaches another request")
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    fake_upstream upstream{[&](const std::string& request) {
        if (request.find("/marks/slow") != std::string::npos) {
            released.wait();
            return fake_upstream::reply{plain_answer(200, "late"), false, false};
        }
        return fake_upstream::reply{plain_answer(200, "own"), false, false};
    }};
    test_node fleet;
    fleet.rules().timeout = std::chrono::milliseconds{300};
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    const auto refused = client.exchange(request_text("POST", "/marks/slow", key_header, "mark"));
    CHECK(refused.status == 504);
    CHECK(body_contains(refused, "\"ran\":\"unknown\""));
    release.set_value();
    for (int round = 0; round < 5; ++round) {
        CHECK(client.exchange(request_text("POST", "/marks/1", key_header, "mark")).body == "own");
    }
}

// Guards against excess bytes after an answer that are parsed as the head of the next answer.
TEST_CASE("a connection with bytes beyond the answer is not used again")
{
    fake_upstream upstream{[](const std::string&) {
        return fake_upstream::reply{plain_answer(200, "own") + plain_answer(200, "crossed"), false,
                                    false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    for (int round = 0; round < 5; ++round) {
        CHECK(client.exchange(request_text("GET", "/marks/1")).body == "own");
    }
}

// Guards against a truncated answer that looks complete to the client.
TEST_CASE("an answer that is cut short is visibly incomplete")
{
    const std::string half(20'000, 'a');
    const std::vector<std::string> cut{
        "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + half,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + half + "\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + half + "XX0\r\n\r\n"};
    std::atomic<std::size_t> next = 0;
    fake_upstream upstream{[&](const std::string&) {
        return fake_upstream::reply{cut.at(next), true, false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    for (; next < cut.size(); ++next) {
        CAPTURE(next.load());
        raw_client client{fleet.caller()};
        const auto answer = client.exchange(request_text("GET", "/marks/1"));
        CHECK(answer.status == 200);
        CHECK(answer.is_cut);
    }
}

// Guards against answers whose length is ambiguous or whose end cannot be determined.
TEST_CASE("an answer of ambiguous length is not passed on")
{
    const std::vector<std::string> heads{"Content-Length: 5\r\nContent-Length: 6\r\n",
                                         "Content-Length: x\r\n",
                                         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                         "Transfer-Encoding: gzip\r\n",
                                         "",
                                         "Content-Length: 5\r\nX-Bad: a\x01\r\n"};
    std::atomic<std::size_t> next = 0;
    fake_upstream upstream{[&](const std::string&) {
        return fake_upstream::reply{"HTTP/1.1 200 OK\r\n" + heads.at(next) + "\r\nhello", true,
                                    false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    for (; next < heads.size(); ++next) {
        CAPTURE(heads.at(next));
        raw_client client{fleet.caller()};
        const auto answer = client.exchange(request_text("POST", "/marks/1", key_header, "mark"));
        CHECK(answer.status == 502);
        CHECK(body_contains(answer, "\"reason\":\"upstream_failed\""));
    }
}

// Guards against blocking the connection by waiting for a body where HTTP allows none.
TEST_CASE("answers without a body end at their head")
{
    fake_upstream upstream{[](const std::string& request) {
        if (request.starts_with("HEAD")) {
            return fake_upstream::reply{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false,
                                        false};
        }
        const bool is_unchanged = request.find("/marks/304") != std::string::npos;
        return fake_upstream::reply{is_unchanged ? "HTTP/1.1 304 Not Modified\r\n\r\n"
                                                 : "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                                                   "HTTP/1.1 204 No Content\r\n\r\n",
                                    false, false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    CHECK(client.exchange(request_text("GET", "/marks/304")).status == 304);
    CHECK(client.exchange(request_text("GET", "/marks/204")).status == 204);
    client.send(request_text("HEAD", "/marks/1"));
    client.send(request_text("GET", "/marks/204"));
    const auto head = client.receive();
    CHECK(head.head.find("Content-Length: 10\r\n") != std::string::npos);
    CHECK(upstream.connections() == 1);
}
