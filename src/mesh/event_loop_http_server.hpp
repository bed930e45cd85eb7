#pragma once

#include "mesh/http_codec.hpp"
#include "mesh/routing_table.hpp"

#include "core/clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace dragonflyroad {

/// A request that is being served. The connection holds it until its response is complete.
class served_request {
public:
    served_request() = default;
    served_request(const served_request&) = delete;
    served_request& operator=(const served_request&) = delete;
    served_request(served_request&&) = delete;
    served_request& operator=(served_request&&) = delete;
    virtual ~served_request() = default;

    /// Called when the caller's connection was closed, so that a response is no longer needed.
    virtual void cancel() = 0;

    /// Called when the process is about to end: answers the request at once. The default leaves the
    /// request unanswered, for requests that are always answered before serve() returns.
    virtual void answer_before_stop() {}
};

using response_function = std::function<void(http_response)>;

/// The functions by which a server handles its requests.
struct server_callbacks {
    /// Starts serving a request. The response may be passed to response_function before this
    /// returns. Returns null when the request need not be notified of its caller's disconnect.
    std::function<std::shared_ptr<served_request>(http_request, time_point arrived,
                                                  response_function)>
        serve;
    /// Whether a pipelined request may start while earlier requests of its connection run. The
    /// caller sends a request again if an earlier response closes the connection, so only
    /// repeatable requests may.
    std::function<bool(const request_head&)> may_pipeline;
    /// The response to a malformed or oversized request.
    std::function<http_response(decode_state)> reject;
    std::function<caller_limits()> limits;
};

class server_connection;

/// An HTTP/1.1 server on the node's event loop. Pipelined requests are started as may_pipeline
/// allows and answered in order. The server keeps reading while a request runs, so that it detects
/// a caller's disconnect at once.
class event_loop_http_server {
public:
    event_loop_http_server(boost::asio::io_context& loop, server_callbacks callbacks);

    /// Binds and listens. False when the address cannot be used; see last_failure().
    bool listen(const std::string& address);

    /// Makes each further response close its connection.
    void begin_stop() { this->stopping = true; }

    /// Answers all open requests at once, because the process is about to end.
    void answer_open_requests();

    /// Whether a caller has connected or sent bytes that the server has not read yet.
    bool has_unread_input();

    /// Closes the listener and all connections.
    void close();

    /// Number of requests that were read and not yet answered.
    std::size_t open_requests() const { return this->unanswered; }

private:
    friend class server_connection;

    void accept();

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    server_callbacks handlers;
    std::set<std::shared_ptr<server_connection>> connections;
    std::size_t unanswered = 0;
    bool stopping = false;
};

} // namespace dragonflyroad
