#include "mesh/link.hpp"

#include "core/failure.hpp"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

constexpr std::size_t length_prefix_bytes = 4;

/// Unsent bytes after which the link to a peer that does not read is closed. Two such links fit
/// into half of the smallest VM's memory.
constexpr std::size_t max_unsent_bytes = 32U << 20U;

/// Interval at which a link with expected traffic is checked. A ping is sent when nothing was
/// received for more than half of it.
constexpr std::chrono::milliseconds check_interval{400};

/// Time without data after which a link with expected traffic is closed. Longer than the longest
/// pause of a VM that is slowed down about five times. Kept short because a request on the link can
/// be retried within its latency objective only if the objective exceeds this time; the objectives
/// are 1 s or more.
constexpr std::chrono::milliseconds silence_timeout{1'200};

/// TCP_USER_TIMEOUT: the kernel closes the connection when sent data is unacknowledged for this
/// long.
constexpr std::chrono::milliseconds unacknowledged_timeout{2'500};

} // namespace

void set_link_socket_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout{static_cast<int>(unacknowledged_timeout.count())}, ignored);
}

link::link(boost::asio::ip::tcp::socket connected, std::string peer, callbacks functions)
    : socket(std::move(connected)),
      timer(socket.get_executor()),
      peer_name(std::move(peer)),
      handlers(std::move(functions))
{
}

void link::start()
{
    set_link_socket_options(this->socket);
    this->last_received_at = boot_clock::now();
    this->read();
    this->arm_timer();
}

void link::send(const link_message& message)
{
    if (this->is_closed || this->has_shut_down) {
        return;
    }
    const std::string bytes = encode_link_message(message);
    const auto size = static_cast<std::uint32_t>(bytes.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        this->pending_output += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU);
    }
    this->pending_output += bytes;
    if (this->pending_output.size() > max_unsent_bytes) {
        this->close("the peer does not read: " + std::to_string(this->pending_output.size()) +
                    " unsent bytes exceed the limit of " + std::to_string(max_unsent_bytes));
        return;
    }
    this->write();
}

void link::close(const std::string& reason)
{
    if (std::exchange(this->is_closed, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    const auto functions = std::exchange(this->handlers, {});
    functions.closed(*this, reason);
}

void link::finish()
{
    this->is_finishing = true;
    this->shut_down_when_sent();
}

void link::shut_down_when_sent()
{
    if (this->is_finishing && !this->is_closed && !this->is_writing &&
        this->pending_output.empty() && !std::exchange(this->has_shut_down, true)) {
        boost::system::error_code ignored;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

void link::read()
{
    this->socket.async_read_some(boost::asio::buffer(this->input),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code& error, std::size_t size) {
                                     if (self->is_closed) {
                                         return;
                                     }
                                     if (error) {
                                         self->close(error.message());
                                         return;
                                     }
                                     self->last_received_at = boot_clock::now();
                                     self->received.append(self->input.data(), size);
                                     if (self->dispatch_messages()) {
                                         self->read();
                                     }
                                 });
}

bool link::dispatch_messages()
{
    std::size_t begin = 0;
    while (this->received.size() - begin >= length_prefix_bytes) {
        std::size_t size = 0;
        for (std::size_t index = 0; index < length_prefix_bytes; ++index) {
            size = (size << 8U) | static_cast<unsigned char>(this->received[begin + index]);
        }
        if (size > max_link_message_bytes) {
            this->close("received a message of " + std::to_string(size) + " bytes, the limit is " +
                        std::to_string(max_link_message_bytes));
            return false;
        }
        if (this->received.size() - begin - length_prefix_bytes < size) {
            break;
        }
        const std::string_view bytes{this->received.data() + begin + length_prefix_bytes, size};
        auto message = decode_link_message(bytes, this->peer_name);
        begin += length_prefix_bytes + size;
        if (!message) {
            this->close(last_failure().detail);
            return false;
        }
        if (std::holds_alternative<ping_message>(*message)) {
            this->send(pong_message{});
        }
        else if (!std::holds_alternative<pong_message>(*message)) {
            this->handlers.receive(*this, std::move(*message));
        }
        if (this->is_closed) {
            return false;
        }
    }
    this->received.erase(0, begin);
    return true;
}

void link::write()
{
    if (this->is_writing || this->is_closed || this->pending_output.empty()) {
        return;
    }
    this->is_writing = true;
    this->writing.swap(this->pending_output);
    this->pending_output.clear();
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->writing),
        [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t) {
            self->is_writing = false;
            if (self->is_closed) {
                return;
            }
            if (error) {
                self->close(error.message());
                return;
            }
            self->write();
            self->shut_down_when_sent();
        });
}

void link::arm_timer()
{
    this->timer.expires_after(check_interval);
    this->timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->is_closed) {
            self->on_timer();
        }
    });
}

void link::on_timer()
{
    const time_point now = boot_clock::now();
    if (!this->handlers.expects_traffic()) {
        this->last_received_at = now;
    }
    else if (now > this->last_received_at + silence_timeout) {
        this->close("silent");
        return;
    }
    else if (now > this->last_received_at + check_interval / 2) {
        this->send(ping_message{});
    }
    this->arm_timer();
}

} // namespace dragonflyroad
