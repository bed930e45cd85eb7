#pragma once

#include "core/clock.hpp"
#include "dispatch/idle_reuse_limit.hpp"
#include "mesh/http_codec.hpp"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// How an exchange with an HTTP peer ended.
enum class client_exchange_outcome {
    /// A complete response was read.
    answered,
    /// No connection could be opened, so the peer has not received the request.
    not_sent,
    /// The connection broke, the deadline passed without a complete response, or the peer sent no
    /// valid HTTP response.
    broken,
    /// The owner cancelled the request.
    cancelled,
};

struct client_exchange_result {
    client_exchange_outcome end = client_exchange_outcome::broken;
    http_response response;
    std::string detail;
    /// Whether the request failed at once on a connection that had been idle, so that the peer may
    /// have closed the connection before.
    bool was_stale = false;
    /// Whether the peer closed or reset the connection before its response was complete.
    bool is_closed_by_peer = false;
};

/// The id by which a peer's response is matched to its request. A faulty peer may send a response
/// again, late, where the response to a later request on the connection is due.
struct request_identity {
    /// The header in which the peer returns the id of the request.
    std::string header;
    std::string id;
};

/// One request to an HTTP peer.
struct client_exchange_request {
    /// The serialised request, with or without its body.
    std::string bytes;
    /// The body, if `bytes` do not contain it.
    shared_bytes body;
    std::string method;
    time_point deadline{};
    /// Maximum idle time of a pooled connection that may carry this request. A peer may have closed
    /// or forgotten an idle connection, and a request that may not be retried fails on it.
    std::chrono::milliseconds max_idle{0};
    /// Identifies the request in its responses. Without it the first response is accepted.
    std::optional<request_identity> identity;
};

class client_connection;

/// Pool of connections to one HTTP address; each connection carries one request at a time. A
/// connection on which bytes arrive while it is idle is closed, since they belong to no request.
class http_client_pool {
public:
    using done_function = std::function<void(client_exchange_result)>;

    /// `max_body_bytes` limits one response. Together, the responses being received are limited to
    /// `max_receiving_bytes`: beyond it, the requests with more than their share of it fail.
    http_client_pool(boost::asio::io_context& loop, std::size_t max_body_bytes,
                     std::size_t max_receiving_bytes);

    /// Sets the peer address, "ip:port". Changing it closes the idle connections to the old
    /// address.
    void set_address(const std::string& address);
    /// Sets the time after which this node closes an idle connection.
    void set_idle_limit(std::chrono::milliseconds limit) { this->idle_limit = limit; }

    /// Starts a request and returns the connection that carries it, whose cancel() ends the
    /// request. `done` is called once.
    std::shared_ptr<client_connection> start(client_exchange_request request, done_function done);

    void close_idle();
    /// Closes the connections that have been idle since before `time`. One without a response in
    /// time may have been dropped by the network without a reset, and then these may have been
    /// dropped with it.
    void close_idle_since_before(time_point time);

    /// Opens a connection and closes it again. `done` is told whether the peer refused it, as when
    /// no process listens at the address.
    void check_refusal(std::function<void(bool is_refused)> done);

    const std::string& peer() const { return this->address; }
    std::uint64_t connections_opened() const { return this->opened; }
    /// Responses that belonged to another request than the one that was waiting.
    std::uint64_t foreign_responses() const { return this->foreign; }

private:
    friend class client_connection;

    std::shared_ptr<client_connection> take_idle(const client_exchange_request& request);
    void add_idle(const std::shared_ptr<client_connection>& connection);
    void remove_idle(const client_connection* connection);

    boost::asio::io_context& context;
    std::size_t body_limit;
    std::size_t receiving_limit;
    /// Bytes of the responses that are being received, and their number.
    std::size_t receiving_bytes = 0;
    std::size_t open_requests = 0;
    std::string address;
    std::chrono::milliseconds idle_limit{8'000};
    std::list<std::shared_ptr<client_connection>> idle;
    idle_reuse_limit reuse_limit;
    std::uint64_t opened = 0;
    std::uint64_t foreign = 0;
};

class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(http_client_pool& owner, boost::asio::io_context& loop);

    /// Cancels the request by closing the connection, so that the peer can stop working on it.
    void cancel();

private:
    friend class http_client_pool;

    void run(client_exchange_request request, http_client_pool::done_function done);
    void connect();
    void write();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t size);
    void decode();
    /// Handles the end of the stream, which completes a response without a length if the connection
    /// was not reset before.
    void on_end();
    /// Ends the request with a complete response, or skips the response if it belongs to another
    /// request.
    void accept(http_response next);
    /// Whether a response belongs to the current request. A response without an id does only on a
    /// connection that has carried no other request.
    bool is_own(const http_response& candidate) const;
    /// Whether the request may be sent on this connection: a second response to an earlier sending
    /// of it could not be told from its own.
    bool may_carry(const client_exchange_request& next) const;
    /// Whether the open responses exceed the pool's limit and this one has more than its share.
    bool exceeds_receiving_limit() const;
    void finish(client_exchange_outcome end, std::string detail);
    /// Whether a request failed at once without any response.
    bool is_reset_at_once(client_exchange_outcome end) const;
    void arm_timer(time_point at);
    void close();

    http_client_pool* pool;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 16384> input{};
    std::string address;
    std::string buffer;
    client_exchange_request request;
    http_client_pool::done_function done;
    std::optional<response_decoder> decoder;
    http_response response;
    /// When the connection was last returned to the pool; zero before that.
    time_point idle_since{};
    time_point request_started_at{};
    time_point reusable_until{};
    /// Ids of the requests that were sent on this connection and whose deadline has not passed,
    /// with that deadline. A request is not sent again after its deadline.
    std::map<std::string, time_point> carried;
    /// Whether this connection has carried a request before the current one.
    bool has_carried_other = false;
    bool is_connected = false;
    bool is_reading = false;
    bool is_written = false;
    /// The connection failed while the request was being written, so the end of the stream says
    /// nothing about whether a response is complete.
    bool is_reset_in_write = false;
    bool is_closed = false;
    bool is_closed_by_peer = false;
    int skipped_responses = 0;
    std::size_t response_bytes = 0;
};

} // namespace dragonflyroad
