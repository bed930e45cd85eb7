#include "mesh/http_client_pool.hpp"
#include "test/support/mesh_fleet.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

/// More than the sockets of both ends buffer, so that the request is still being written when the
/// connection ends.
constexpr std::size_t upload_bytes = 24U << 20U;

/// The same for a request that a node accepts.
constexpr std::size_t fleet_upload_bytes = 12U << 20U;

/// How an upstream ends a connection on which it has not read the whole request.
enum class early_end { reset, orderly };

/// An upstream that answers as soon as a request begins to arrive, and then ends the connection.
class early_upstream {
public:
    early_upstream(boost::asio::io_context& loop, std::string first_bytes, early_end then)
        : context(loop),
          acceptor(loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}),
          bytes(std::move(first_bytes)),
          ending(then)
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    struct connection {
        connection(tcp::socket accepted, boost::asio::io_context& loop)
            : socket(std::move(accepted)), pause(loop)
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer pause;
        std::array<char, 4096> input{};
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& error, tcp::socket peer) {
                if (error) {
                    return;
                }
                this->answer(std::make_shared<connection>(std::move(peer), this->context));
                this->accept();
            });
    }

    void answer(const std::shared_ptr<connection>& open)
    {
        open->socket.async_read_some(boost::asio::buffer(open->input),
                                     [this, open](const boost::system::error_code&, std::size_t) {
                                         boost::asio::async_write(
                                             open->socket, boost::asio::buffer(this->bytes),
                                             [this, open](const boost::system::error_code&,
                                                          std::size_t) { this->end(open); });
                                     });
    }

    void end(const std::shared_ptr<connection>& open)
    {
        // The caller has read the bytes and waits in the middle of its request by then.
        open->pause.expires_after(100ms);
        open->pause.async_wait([this, open](const boost::system::error_code&) {
            boost::system::error_code ignored;
            if (this->ending == early_end::reset) {
                open->socket.close(ignored);
                return;
            }
            open->socket.shutdown(tcp::socket::shutdown_send, ignored);
            this->drain(open);
        });
    }

    void drain(const std::shared_ptr<connection>& open)
    {
        open->socket.async_read_some(
            boost::asio::buffer(open->input),
            [this, open](const boost::system::error_code& error, std::size_t) {
                if (!error) {
                    this->drain(open);
                }
            });
    }

    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    std::string bytes;
    early_end ending;
};

/// Uploads a large body to an upstream that answers early.
client_exchange_result upload_to(const std::string& bytes, early_end then)
{
    boost::asio::io_context loop;
    early_upstream upstream{loop, bytes, then};
    http_client_pool pool{loop, 1U << 20U, 4U << 20U};
    pool.set_address(upstream.address());
    std::optional<client_exchange_result> result;
    client_exchange_request request;
    request.method = "POST";
    request.bytes = encode_request_head({"POST", "/", {{"Host", "a"}}}, upload_bytes);
    request.body = std::string(upload_bytes, 'u');
    request.deadline = boot_clock::now() + 4s;
    pool.start(std::move(request), [&](client_exchange_result end) { result = std::move(end); });
    const time_point limit = boot_clock::now() + 5s;
    while (!result && boot_clock::now() < limit) {
        loop.run_one_for(5ms);
    }
    return result.value_or(client_exchange_result{});
}

const std::string head_without_length = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n";

} // namespace

// Guards against a part of an answer that is passed on as a whole one: when the connection is reset
// while the request is still being written, the failed write takes the error, and the next read
// reports an orderly end, which completes an answer without a length.
TEST_CASE("an answer without a length that is reset during an upload is not complete")
{
    const auto result = upload_to(head_without_length + "the first part", early_end::reset);
    CHECK(result.end == client_exchange_outcome::broken);
    CHECK(result.is_closed_by_peer);
}

// Guards against a stricter reading than the protocol's: an answer that is whole counts, though the
// peer has not read the request to its end.
TEST_CASE("a whole answer that comes before the end of an upload is accepted")
{
    SUBCASE("its connection ends in order")
    {
        const auto result = upload_to(head_without_length + "whole", early_end::orderly);
        CHECK(result.end == client_exchange_outcome::answered);
        CHECK(result.response.body == "whole");
    }
    SUBCASE("it has a length, and the connection is reset")
    {
        const auto result =
            upload_to("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole", early_end::reset);
        CHECK(result.end == client_exchange_outcome::answered);
        CHECK(result.response.body == "whole");
    }
}

// Guards against the same at the caller of a node, beside the upstream and over a link.
TEST_CASE("the caller of an upload whose answer is reset gets a failure, not a part of it")
{
    mesh_fleet fleet{2};
    early_upstream upstream{fleet.context, head_without_length + "the first part",
                            early_end::reset};
    fleet.check_in(0, "draining", 2);
    fleet.vms[1].upstream_address = upstream.address();
    fleet.check_in(1, "ready", 1, 2000);
    for (const std::size_t caller : {1U, 0U}) {
        CAPTURE(caller);
        std::optional<client_exchange_result> result;
        client_exchange_request request;
        request.method = "POST";
        request.bytes = encode_request_head({"POST",
                                             "/submit/model",
                                             {{"Host", "books.example"},
                                              {"X-Attempt-Id", "upload"},
                                              {"X-Deadline-Ms", "3000"},
                                              {"Api-Key", "first-key"}}},
                                            fleet_upload_bytes);
        request.body = std::string(fleet_upload_bytes, 'u');
        request.deadline = boot_clock::now() + 4s;
        fleet.vms[caller].callers->start(
            std::move(request), [&](client_exchange_result end) { result = std::move(end); });
        REQUIRE(fleet.run_until([&] { return result.has_value(); }));
        CHECK(result->response.status == 502);
    }
}
