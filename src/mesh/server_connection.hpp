#pragma once

#include "mesh/http_server.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// One connection of a caller.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& owner, boost::asio::ip::tcp::socket accepted);

    void start();
    void close();

private:
    /// A request of this connection in order of arrival.
    struct slot {
        http_request request;
        time_point arrived{};
        std::shared_ptr<served_request> served;
        std::optional<http_answer> answer;
        bool is_started = false;
    };
    using slot_pointer = std::shared_ptr<slot>;

    void read();
    void on_read(std::size_t size);
    void decode();
    void add_request(http_request request);
    void start_requests();
    void start_request(const slot_pointer& entry);
    void set_answer(const slot_pointer& entry, http_answer answer);
    void reject(decode_state state);
    void write();
    void on_written(bool keeps_connection);
    void arm_timer();
    void on_timer();

    http_server& server;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 8192> input{};
    std::string buffer;
    std::string output;
    request_decoder decoder;
    std::deque<slot_pointer> slots;
    bool is_writing = false;
    bool is_reading = false;
    bool is_closed = false;
    bool takes_requests = true;
};

} // namespace dragonflyroad
