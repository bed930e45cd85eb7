#include "mesh/link.hpp"

#include "core/failure.hpp"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/write.hpp>

namespace dragonflyroad {
namespace {

constexpr std::size_t length_bytes = 4;

/// Unsent bytes after which a peer that does not read is given up. Half of the smallest VM's memory
/// holds two such links.
constexpr std::size_t max_unsent_bytes = 32U << 20U;

/// How often a link in use is looked at; a ping goes out when it was silent for that long.
constexpr std::chrono::milliseconds check_interval{400};

/// Silence of a link in use after which it is given up. Above the longest pause of a slow VM (about
/// five times slower) and low enough to repeat a request within its objective of 1 s or more.
constexpr std::chrono::milliseconds silence_limit{1'200};

/// The kernel gives up unacknowledged bytes after this time.
constexpr std::chrono::milliseconds unacknowledged_limit{2'500};

} // namespace

void set_peer_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout{static_cast<int>(unacknowledged_limit.count())}, ignored);
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
    set_peer_options(this->socket);
    this->heard_at = boot_clock::now();
    this->read();
    this->arm_timer();
}

void link::send(const link_message& message)
{
    if (this->is_closed) {
        return;
    }
    const std::string bytes = encode_link_message(message);
    const auto size = static_cast<std::uint32_t>(bytes.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        this->outgoing += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU);
    }
    this->outgoing += bytes;
    if (this->outgoing.size() > max_unsent_bytes) {
        this->close("the peer does not read");
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
                                     self->heard_at = boot_clock::now();
                                     self->received.append(self->input.data(), size);
                                     if (self->take_messages()) {
                                         self->read();
                                     }
                                 });
}

bool link::take_messages()
{
    std::size_t begin = 0;
    while (this->received.size() - begin >= length_bytes) {
        std::size_t size = 0;
        for (std::size_t index = 0; index < length_bytes; ++index) {
            size = (size << 8U) | static_cast<unsigned char>(this->received[begin + index]);
        }
        if (size > max_link_message_bytes) {
            this->close("a message is too large");
            return false;
        }
        if (this->received.size() - begin - length_bytes < size) {
            break;
        }
        const std::string_view bytes{this->received.data() + begin + length_bytes, size};
        auto message = decode_link_message(bytes, this->peer_name);
        begin += length_bytes + size;
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
    if (this->is_writing || this->is_closed || this->outgoing.empty()) {
        return;
    }
    this->is_writing = true;
    this->writing.swap(this->outgoing);
    this->outgoing.clear();
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
        this->heard_at = now;
    }
    else if (now > this->heard_at + silence_limit) {
        this->close("silent");
        return;
    }
    else if (now > this->heard_at + check_interval / 2) {
        this->send(ping_message{});
    }
    this->arm_timer();
}

} // namespace dragonflyroad
