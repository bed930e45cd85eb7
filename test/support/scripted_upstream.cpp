#include "scripted_upstream.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>

using namespace dragonflyroad;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t max_header_bytes = 16U << 10U;
constexpr std::size_t max_body_bytes = 1U << 20U;

} // namespace

struct scripted_upstream::connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::size_t number = 0;
    std::array<char, 4096> input{};
    std::string buffer;
    std::string output;
    request_decoder decoder{max_header_bytes, max_body_bytes};
};

scripted_upstream::scripted_upstream(boost::asio::io_context& loop, script function)
    : acceptor(loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}),
      replies(std::move(function))
{
    this->accept();
}

std::string scripted_upstream::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void scripted_upstream::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket peer) {
        if (error) {
            return;
        }
        const auto open = std::make_shared<connection>(std::move(peer));
        open->number = this->accepted++;
        this->read(open);
        this->accept();
    });
}

void scripted_upstream::read(const std::shared_ptr<connection>& open)
{
    open->socket.async_read_some(
        boost::asio::buffer(open->input),
        [this, open](const boost::system::error_code& error, std::size_t size) {
            if (error) {
                return;
            }
            open->buffer.append(open->input.data(), size);
            if (open->decoder.decode(open->buffer) != decode_state::complete) {
                this->read(open);
                return;
            }
            const http_request request = open->decoder.take();
            open->decoder = request_decoder{max_header_bytes, max_body_bytes};
            this->reply(open, request);
        });
}

void scripted_upstream::reply(const std::shared_ptr<connection>& open, const http_request& request)
{
    scripted_reply next = this->replies(open->number, request);
    open->output = std::move(next.bytes);
    boost::asio::async_write(
        open->socket, boost::asio::buffer(open->output),
        [this, open, then = next.then](const boost::system::error_code& error, std::size_t) {
            if (!error && then == after_reply::keep) {
                this->read(open);
            }
        });
}

std::string attempt_id(const http_request& request)
{
    return std::string{find_header(request.head.headers, "X-Attempt-Id").value_or("")};
}

std::string signed_head(int status, const std::string& id)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Attempt-Id: " + id +
           "\r\nX-Response-Signature: signed\r\n";
}

std::string signed_response(int status, const std::string& id, const std::string& body)
{
    return signed_head(status, id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string refusal_response(const std::string& id)
{
    return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: " + id +
           "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}
