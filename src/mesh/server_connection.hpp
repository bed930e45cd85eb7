#pragma once

#include "mesh/event_loop_http_server.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// One connection of a caller to an event_loop_http_server.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(event_loop_http_server& owner, boost::asio::ip::tcp::socket accepted);

    void start();
    void close();

    /// Answers the requests that were started; the last answer closes the connection.
    void answer_before_stop();
    /// Whether the caller has sent bytes that were not read yet.
    bool has_unread_input() const;

private:
    /// A request that was read and not yet answered.
    struct pipelined_request {
        http_request request;
        time_point arrived{};
        std::shared_ptr<served_request> served;
        std::optional<http_response> answer;
        bool is_started = false;
    };
    using request_pointer = std::shared_ptr<pipelined_request>;

    void read();
    void on_read(std::size_t size);
    void decode();
    void add_request(http_request request);
    void start_requests();
    void start_request(const request_pointer& entry);
    void set_response(const request_pointer& entry, http_response answer);
    void reject(decode_state state);
    void write();
    void on_written(bool keeps_connection);
    void arm_timer();
    void on_timer();

    event_loop_http_server& server;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 8192> input{};
    std::string buffer;
    std::string output;
    request_decoder decoder;
    std::deque<request_pointer> pipeline;
    bool is_writing = false;
    bool is_reading = false;
    bool is_closed = false;
    bool accepts_requests = true;
};

} // namespace dragonflyroad
