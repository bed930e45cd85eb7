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
    /// Where a connection comes from, and the memory reserved for it.
    struct origin {
        std::uint64_t id = 0;
        std::string remote_ip;
        memory_reservation reservation;
    };

    server_connection(event_loop_http_server& owner, boost::asio::ip::tcp::socket accepted,
                      origin from);

    void start();
    void close();

    /// Answers the requests that were started; the last answer closes the connection.
    void answer_before_stop();
    /// Whether the caller has sent bytes that were not read yet.
    bool has_unread_input() const;
    /// What decides whether this connection gives way to a new one.
    connection_state state() const;

private:
    /// A request that was read and not yet answered.
    struct pipelined_request {
        http_request request;
        time_point arrived{};
        std::shared_ptr<served_request> served;
        std::optional<http_response> answer;
        /// For a head that the connection's own reservation does not cover.
        memory_reservation head_reservation;
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
    /// Reserves memory for the head that was read. The connection's own reservation covers an
    /// ordinary head of one request. False when there is none.
    bool reserve_head();
    /// Reserves memory for the body that is arriving. False when there is none.
    bool reserve_body();
    /// Prepares for the next request.
    void reset_decoder();
    void reject(decode_state state);
    /// Answers without a request that was read completely; the connection closes then.
    void answer_and_close(http_response answer);
    void write();
    /// Whether the server stops while requests of this connection are open. No others are taken
    /// then: a client sends what stands behind the last answer again.
    bool is_finishing() const;
    /// Whether the request behind the first one may have been passed on to an upstream, so that the
    /// connection has to stay for its answer.
    bool is_next_started() const;
    void on_written(bool keeps_connection);
    void shut_down();
    void discard_requests();
    /// Records what arrived, for the deadlines.
    void record_input();
    /// When the connection is closed, or its request refused, if nothing happens until then.
    time_point next_deadline() const;
    void arm_timer();
    void on_timer();

    event_loop_http_server& server;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 8192> input{};
    std::string buffer;
    std::string output;
    origin source;
    request_decoder decoder;
    memory_reservation head_reservation;
    memory_reservation body_reservation;
    time_point last_completed_at{};
    /// Deadlines of what the client has to do next; see next_deadline().
    time_point idle_deadline{};
    time_point silence_deadline{};
    time_point head_deadline{};
    time_point body_deadline{};
    time_point write_deadline{};
    time_point close_deadline{};
    /// Size of the body from which body_deadline is extended again.
    std::size_t next_body_mark = 0;
    bool was_rejected = false;
    std::deque<request_pointer> pipeline;
    bool is_writing = false;
    bool is_reading = false;
    bool is_closed = false;
    bool accepts_requests = true;
};

} // namespace dragonflyroad
