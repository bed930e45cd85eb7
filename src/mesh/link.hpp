#pragma once

#include "core/clock.hpp"
#include "dispatch/memory_budget.hpp"
#include "mesh/link_message.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
        /// Where the bodies of messages are reserved; null for no limit.
        std::shared_ptr<memory_budget> memory{};
    };

    link(boost::asio::ip::tcp::socket connected, std::string peer_name, callbacks handlers);

    void start();
    void send(const link_message& message);
    void close(const std::string& reason);
    /// Shuts down the sending side once everything was sent, and goes on reading: closing a socket
    /// with unread bytes resets the connection, and the peer could lose messages.
    void finish();

    const std::string& peer() const { return this->peer_name; }
    /// The peer has sent its hello. Until then it may send only a short message, and only for some
    /// seconds.
    void set_identified() { this->is_identified = true; }
    bool has_identified() const { return this->is_identified; }

private:
    /// Bytes that are sent in one piece, or the head and the body of a message.
    struct output_part {
        std::string head;
        shared_bytes body;
    };
    /// A message whose head was read and whose body follows.
    struct incoming_message {
        link_message message;
        memory_reservation reservation;
        std::string body;
        std::size_t body_bytes = 0;
        std::size_t received_bytes = 0;
        /// There is no memory for the body, so it is read and discarded.
        bool is_discarded = false;
    };

    void read();
    void on_received(std::string_view bytes);
    /// Reads heads from the receive buffer until it ends or a body follows. False when the link was
    /// closed.
    bool read_head();
    void begin_body(link_message message, std::size_t body_bytes);
    /// Takes the bytes that belong to the current message's body.
    void take_body(std::string_view& bytes);
    void end_body();
    void dispatch(link_message message);
    void write();
    void shut_down_when_sent();
    void arm_timer();
    void on_timer();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string peer_name;
    callbacks handlers;
    std::array<char, 16384> input{};
    /// The beginning of a message whose head is not complete.
    std::string received;
    /// For a long head.
    memory_reservation head_reservation;
    std::optional<incoming_message> incoming;
    std::vector<output_part> pending_output;
    std::vector<output_part> writing;
    /// Bytes of heads in the pending output.
    std::size_t pending_head_bytes = 0;
    time_point last_received_at{};
    /// Time by which the peer must have sent its hello.
    time_point identified_by{};
    bool is_identified = false;
    bool is_writing = false;
    bool is_finishing = false;
    bool has_shut_down = false;
    bool is_closed = false;
};

} // namespace dragonflyroad
