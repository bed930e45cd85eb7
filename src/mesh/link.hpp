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

/// Makes the kernel give up on a peer that acknowledges nothing, such as a VM without power, and
/// turns off delays for small messages.
void set_peer_options(boost::asio::ip::tcp::socket& socket);

/// One TCP connection between two nodes that carries messages in both directions, each with its
/// length before it. While `expects_traffic` holds, silence is answered with pings and ends the
/// link after a bounded time, so that a connection that something in between has forgotten is
/// noticed.
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

    const std::string& peer() const { return this->peer_name; }

private:
    void read();
    bool take_messages();
    void write();
    void arm_timer();
    void on_timer();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string peer_name;
    callbacks handlers;
    std::array<char, 16384> input{};
    std::string received;
    std::string outgoing;
    std::string writing;
    time_point heard_at{};
    bool is_writing = false;
    bool is_closed = false;
};

} // namespace dragonflyroad
