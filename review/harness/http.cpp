#include "review/harness/http.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace review {

namespace beast = boost::beast;

namespace {

constexpr std::uint64_t max_body_bytes = 128U << 20U;

} // namespace

tcp::endpoint parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

bool connection::read(request& received)
{
    boost::system::error_code error;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(max_body_bytes);
    beast::http::read(this->socket, this->buffer, parser, error);
    received = parser.release();
    return !error;
}

bool connection::write(const response& answer)
{
    if (this->is_silent) {
        return true;
    }
    boost::system::error_code error;
    beast::http::response_serializer<beast::http::string_body> serializer{answer};
    beast::http::write(this->socket, serializer, error);
    return !error;
}

bool connection::write_text(const std::string& bytes)
{
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
    return !error;
}

void connection::finish()
{
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void connection::end()
{
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

void http_server::start(const std::string& address)
{
    this->is_stopping = false;
    this->acceptor.emplace(this->context, parse_endpoint(address), true);
    this->accept_thread = std::thread{[this] { this->accept(); }};
}

void http_server::accept()
{
    while (!this->is_stopping) {
        boost::system::error_code error;
        tcp::socket socket = this->acceptor->accept(error);
        const std::lock_guard lock{this->mutex};
        if (this->is_stopping) {
            return;
        }
        if (error) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto link = std::make_shared<connection>(std::move(socket));
        this->workers.push_back({link, std::thread{[this, link] { this->serve(*link); }}});
    }
}

void http_server::serve(connection& link)
{
    request received;
    while (link.read(received)) {
        if (!this->handle(link, received)) {
            link.finish();
            return;
        }
        received = {};
    }
}

void http_server::silence_open_connections()
{
    const std::lock_guard lock{this->mutex};
    for (const worker& open : this->workers) {
        open.link->silence();
    }
}

void http_server::close_listener()
{
    if (!this->accept_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock{this->mutex};
        this->is_stopping = true;
        ::shutdown(this->acceptor->native_handle(), SHUT_RDWR);
    }
    this->accept_thread.join();
    this->acceptor.reset();
}

void http_server::stop()
{
    this->close_listener();
    std::list<worker> open;
    {
        const std::lock_guard lock{this->mutex};
        open.swap(this->workers);
    }
    for (worker& ended : open) {
        ended.link->end();
    }
    for (worker& ended : open) {
        ended.thread.join();
    }
}

exchange send_request(const std::string& address, request outgoing,
                      std::chrono::milliseconds timeout)
{
    exchange result;
    boost::asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;
    response answer;
    const auto fail = [&](const boost::system::error_code& error) {
        if (error) {
            result.error = error.message();
        }
        return static_cast<bool>(error);
    };
    outgoing.prepare_payload();
    stream.expires_after(timeout);
    stream.async_connect(parse_endpoint(address), [&](const boost::system::error_code& connected) {
        if (fail(connected)) {
            return;
        }
        beast::http::async_write(
            stream, outgoing, [&](const boost::system::error_code& written, std::size_t) {
                if (fail(written)) {
                    return;
                }
                beast::http::async_read(
                    stream, buffer, answer,
                    [&](const boost::system::error_code& read, std::size_t) { fail(read); });
            });
    });
    context.run();
    if (result.error.empty()) {
        result.status = static_cast<int>(answer.result_int());
        result.body = answer.body();
        result.answered_id = std::string{answer["X-Attempt-Id"]};
    }
    return result;
}

} // namespace review
