#include "mesh/http_client_pool.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t max_body_bytes = 1U << 20U;
constexpr std::size_t max_receiving_bytes = 2U << 20U;

/// A peer that answers each connection with `head` and then with `block` until it is closed.
class endless_peer {
public:
    endless_peer(boost::asio::io_context& loop, std::string first, std::string repeated)
        : acceptor(loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}),
          head(std::move(first)),
          block(std::move(repeated))
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::size_t sent = 0;
    std::size_t closed = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& error, tcp::socket peer) {
                if (!error) {
                    this->write(std::make_shared<tcp::socket>(std::move(peer)), this->head);
                    this->accept();
                }
            });
    }

    void write(const std::shared_ptr<tcp::socket>& peer, const std::string& bytes)
    {
        boost::asio::async_write(
            *peer, boost::asio::buffer(bytes),
            [this, peer](const boost::system::error_code& error, std::size_t size) {
                this->sent += size;
                if (error) {
                    ++this->closed;
                    return;
                }
                this->write(peer, this->block);
            });
    }

    tcp::acceptor acceptor;
    std::string head;
    std::string block;
};

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
    while ((ended < requests || peer.closed < static_cast<std::size_t>(requests)) &&
           boot_clock::now() < limit) {
        loop.run_for(5ms);
    }
    result.sent = peer.sent;
    result.is_closed = peer.closed == static_cast<std::size_t>(requests);
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
