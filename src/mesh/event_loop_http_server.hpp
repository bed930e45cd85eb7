#pragma once

#include "mesh/http_codec.hpp"
#include "mesh/routing_table.hpp"

#include "core/clock.hpp"
#include "dispatch/connection_limit.hpp"
#include "dispatch/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
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

/// Counters of what a node refused or closed because of its limits on clients, summed over its
/// ports.
struct client_counters {
    /// Connections that were closed for a new one, or refused because none could be closed.
    std::uint64_t closed_for_room = 0;
    std::uint64_t refused_connections = 0;
    /// Requests that did not arrive within the time limits, and those without memory for the body.
    std::uint64_t slow_requests = 0;
    std::uint64_t refused_for_memory = 0;
    /// Heads, trailers and bodies over the limit, and bytes that are no request.
    std::uint64_t rejected_input = 0;
    /// Callers that read nothing of their response for too long.
    std::uint64_t slow_readers = 0;
};

/// What bounds the clients of a port. The defaults set no bound.
struct client_bounds {
    std::shared_ptr<memory_budget> memory;
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    std::shared_ptr<client_counters> counters = std::make_shared<client_counters>();
};

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
    client_bounds bounds{};
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

    /// Makes the response to the last request that was started on a connection close it.
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
    /// Makes room for a new connection by closing one, if the limit is reached. False when none may
    /// be closed.
    bool make_room();
    /// Closes the connection that gives way first. False when there is none.
    bool close_one();
    void add_connection(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    server_callbacks handlers;
    std::set<std::shared_ptr<server_connection>> connections;
    std::uint64_t last_connection = 0;
    std::size_t unanswered = 0;
    bool stopping = false;
};

} // namespace dragonflyroad
