#include "mesh/http_client_pool.hpp"
#include "test/support/endless_peer.hpp"
#include "test/support/mesh_fleet.hpp"

#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_body_bytes = 1U << 20U;
constexpr std::size_t max_receiving_bytes = 2U << 20U;

struct exchange_end {
    client_exchange_outcome outcome = client_exchange_outcome::answered;
    std::size_t sent = 0;
    bool is_closed = false;
};

/// Sends `requests` requests to an endless peer and waits until all have ended.
exchange_end exchange_with(const std::string& head, const std::string& block, int requests = 1)
{
    boost::asio::io_context loop;
    endless_peer peer{loop, head, block};
    http_client_pool pool{loop, max_body_bytes, max_receiving_bytes};
    pool.set_address(peer.address());
    exchange_end result;
    int ended = 0;
    for (int index = 0; index < requests; ++index) {
        client_exchange_request request;
        request.bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        request.method = "GET";
        request.deadline = boot_clock::now() + 5s;
        pool.start(std::move(request), [&](const client_exchange_result& end) {
            ++ended;
            result.outcome = end.end;
        });
    }
    const time_point limit = boot_clock::now() + 6s;
    while ((ended < requests || peer.closed() < static_cast<std::size_t>(requests)) &&
           boot_clock::now() < limit) {
        loop.run_for(5ms);
    }
    result.sent = peer.sent();
    result.is_closed = peer.closed() == static_cast<std::size_t>(requests);
    return result;
}

/// Bytes that may be on their way in socket buffers when the reader closes.
constexpr std::size_t socket_buffer_bytes = 16U << 20U;

void check_bounded(const exchange_end& end, std::size_t limit)
{
    CHECK(end.outcome == client_exchange_outcome::broken);
    CHECK(end.is_closed);
    CHECK(end.sent < limit + socket_buffer_bytes);
}

} // namespace

// Guards against a node whose memory is used up by an upstream that sends bytes without end. Each
// place where a response has no length of its own is tried.
TEST_CASE("a response without end is broken off within the limits, wherever it is endless")
{
    const std::string noise(32U << 10U, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    SUBCASE("no head at all")
    {
        check_bounded(exchange_with(noise, noise), max_body_bytes);
    }
    SUBCASE("a status line")
    {
        check_bounded(exchange_with("HTTP/1.1 200 ", noise), max_body_bytes);
    }
    SUBCASE("a header")
    {
        check_bounded(exchange_with(ok + "X-A: ", noise), max_body_bytes);
    }
    SUBCASE("many headers")
    {
        check_bounded(exchange_with(ok, "X-A: b\r\n"), max_body_bytes);
    }
    SUBCASE("a body until the end of the connection")
    {
        check_bounded(exchange_with(ok + "\r\n", noise), max_body_bytes);
    }
    SUBCASE("chunks")
    {
        check_bounded(exchange_with(chunked, "8000\r\n" + noise + "\r\n"), max_body_bytes);
    }
    SUBCASE("the extension of a chunk")
    {
        check_bounded(exchange_with(chunked + "5;a=", noise), max_body_bytes);
    }
    SUBCASE("the trailer")
    {
        check_bounded(exchange_with(chunked + "0\r\nX-A: ", noise), max_body_bytes);
    }
    SUBCASE("interim responses")
    {
        check_bounded(exchange_with("", "HTTP/1.1 102 Processing\r\n\r\n"), max_body_bytes);
    }
}

// Guards against memory that is used up by several responses, each within its own limit.
TEST_CASE("responses that together exceed the limit are broken off")
{
    const std::string block(32U << 10U, 'x');
    const auto end = exchange_with("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", block, 6);
    CHECK(end.is_closed);
    CHECK(end.sent < max_receiving_bytes + 6 * socket_buffer_bytes);
}

namespace {

struct endless_response {
    std::string where;
    std::string head;
    std::string block;
};

std::vector<endless_response> endless_responses()
{
    const std::string noise(32U << 10U, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n";
    return {{"no head", noise, noise},
            {"a header", head + "X-A: ", noise},
            {"many headers", head, "X-A: b\r\n"},
            {"a body until the end of the connection", head + "\r\n", noise},
            {"a body beyond its length", head + "Content-Length: 4\r\n\r\n", noise},
            {"a body of a length that nothing can hold",
             head + "Content-Length: 999999999999\r\n\r\n", noise},
            {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + noise + "\r\n"}};
}

/// Lets the caller of one VM ask an endless upstream beside the other VM's node, or beside its own.
void check_answered(std::size_t caller)
{
    mesh_fleet fleet{2};
    const std::string sound = fleet.vms[1].upstream_address;
    fleet.check_in(0, "draining", 2);
    std::int64_t born = 1000;
    for (const endless_response& endless : endless_responses()) {
        CAPTURE(endless.where);
        endless_peer faulty{fleet.context, endless.head, endless.block};
        fleet.vms[1].upstream_address = faulty.address();
        fleet.check_in(1, "ready", 1, ++born);
        const auto answer = fleet.exchange(caller, "POST");
        REQUIRE(answer.end == client_exchange_outcome::answered);
        const bool is_whole = answer.response.status == 200 && answer.response.body == "xxxx";
        CHECK((is_whole || answer.response.status == 502));
        CHECK(fleet.run_until([&] { return faulty.closed() > 0; }));
        CHECK(faulty.sent() < mesh_settings{}.memory_bytes / 4);
        fleet.vms[1].upstream_address = sound;
        fleet.check_in(1, "ready", 1, ++born);
        CHECK(fleet.exchange(caller, "POST").response.status == 200);
    }
}

} // namespace

// Guards against a node that keeps all that a faulty upstream sends, or ends, with the requests of
// other callers.
TEST_CASE("an endless response of the node's own upstream is broken off and others are served")
{
    check_answered(1);
}

// Guards against the same at the node of the caller, which gets the response over a link.
TEST_CASE("an endless response of another VM's upstream is broken off and others are served")
{
    check_answered(0);
}
