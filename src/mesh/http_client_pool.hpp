#pragma once

#include "core/clock.hpp"
#include "dispatch/idle_patience.hpp"
#include "mesh/http_codec.hpp"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// How an exchange with an HTTP peer ended.
enum class exchange_end {
    /// A whole answer was read.
    answered,
    /// No connection could be made: the peer has not seen the request.
    not_sent,
    /// The connection broke, went silent past the deadline or carried something else than an
    /// answer.
    broken,
    /// The owner took the request back.
    cancelled,
};

struct exchange_result {
    exchange_end end = exchange_end::broken;
    http_answer answer;
    std::string detail;
};

/// One request to an HTTP peer.
struct exchange_request {
    std::string bytes;
    std::string method;
    time_point deadline{};
    /// How long a kept connection may have been idle to carry this request. A peer may have closed
    /// or forgotten it meanwhile, and a request that may not be repeated is lost then.
    std::chrono::milliseconds max_idle{0};
    /// Whether the answer is the one to this request; others are passed over. Empty accepts all.
    std::function<bool(const http_answer&)> is_own_answer;
};

class client_connection;

/// Keeps connections to one HTTP address and runs one request at a time on each. Bytes that arrive
/// while a connection is idle belong to no request and close it.
class http_client_pool {
public:
    using done_function = std::function<void(exchange_result)>;

    http_client_pool(boost::asio::io_context& loop, std::size_t max_body_bytes);

    /// The address, "ip:port"; a new one closes the idle connections to the old one.
    void set_address(const std::string& address);
    /// Idle connections are closed by this node after this time.
    void set_idle_limit(std::chrono::milliseconds limit) { this->idle_limit = limit; }

    /// Starts a request. The returned handle takes it back by cancel(); done is called once.
    std::shared_ptr<client_connection> start(exchange_request request, done_function done);

    void close_idle();

    const std::string& peer() const { return this->address; }
    std::uint64_t connections_opened() const { return this->opened; }

private:
    friend class client_connection;

    std::shared_ptr<client_connection> take_idle(std::chrono::milliseconds max_idle);
    void put_back(const std::shared_ptr<client_connection>& connection);
    void remove_idle(const client_connection* connection);

    boost::asio::io_context& context;
    std::size_t body_limit;
    std::string address;
    std::chrono::milliseconds idle_limit{8'000};
    std::list<std::shared_ptr<client_connection>> idle;
    idle_patience patience;
    std::uint64_t opened = 0;
};

/// One connection of a pool.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(http_client_pool& owner, boost::asio::io_context& loop);

    /// Ends the request by closing the connection, which tells the peer to stop.
    void cancel();

private:
    friend class http_client_pool;

    void run(exchange_request request, http_client_pool::done_function done);
    void connect();
    void write();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    void decode();
    void finish(exchange_end end, std::string detail);
    /// Whether a request ended because the peer had dropped this kept connection before.
    bool was_dropped(exchange_end end) const;
    void arm_timer(time_point at);
    void close();

    http_client_pool* pool;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 16384> input{};
    std::string address;
    std::string buffer;
    exchange_request request;
    http_client_pool::done_function done;
    std::optional<answer_decoder> decoder;
    http_answer answer;
    /// When the connection was last put back; zero before that.
    time_point idle_since{};
    time_point run_since{};
    time_point use_until{};
    bool is_connected = false;
    bool is_reading = false;
    bool is_written = false;
    bool is_closed = false;
    int passed_over = 0;
};

} // namespace dragonflyroad
