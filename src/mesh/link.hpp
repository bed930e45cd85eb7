#pragma once

#include "core/clock.hpp"
#include "mesh/link_message.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Sets TCP_USER_TIMEOUT, so that the kernel closes the connection to a peer that acknowledges
/// nothing, such as a VM without power, and TCP_NODELAY, so that small messages are not delayed.
/// Errors are ignored.
void set_link_socket_options(boost::asio::ip::tcp::socket& socket);

/// A TCP connection between two nodes that carries length-prefixed messages in both directions.
/// While `expects_traffic` returns true, an idle link is probed with pings and closed after a
/// bounded time without data, so that a connection whose state an intermediate device has dropped
/// is detected.
class link : public std::enable_shared_from_this<link> {
public:
    struct callbacks {
        std::function<void(link&, link_message)> receive;
        std::function<void(link&, const std::string& reason)> closed;
        std::function<bool()> expects_traffic;
    };

    link(boost::asio::ip::tcp::socket connected, std::string peer_name, callbacks handlers);

    void start();
    void send(const link_message& message);
    void close(const std::string& reason);
    /// Shuts down the sending side once everything was sent, and goes on reading: closing a socket
    /// with unread bytes resets the connection, and the peer could lose messages.
    void finish();

    const std::string& peer() const { return this->peer_name; }

private:
    void read();
    /// Passes the complete messages in the receive buffer to the handlers. False when the link was
    /// closed.
    bool dispatch_messages();
    void write();
    void shut_down_when_sent();
    void arm_timer();
    void on_timer();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string peer_name;
    callbacks handlers;
    std::array<char, 16384> input{};
    std::string received;
    std::string pending_output;
    std::string writing;
    time_point last_received_at{};
    bool is_writing = false;
    bool is_finishing = false;
    bool has_shut_down = false;
    bool is_closed = false;
};

} // namespace dragonflyroad
