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

/// A request that is being served. Held by the connection until its answer is complete.
class served_request {
public:
    served_request() = default;
    served_request(const served_request&) = delete;
    served_request& operator=(const served_request&) = delete;
    served_request(served_request&&) = delete;
    served_request& operator=(served_request&&) = delete;
    virtual ~served_request() = default;

    /// The caller has closed its connection; no answer is wanted any more.
    virtual void cancel() = 0;
};

using answer_function = std::function<void(http_answer)>;

/// What a server does with its requests.
struct server_callbacks {
    /// Starts serving a request. The answer may be given before this returns. Null when the request
    /// needs no notice of its caller's leaving.
    std::function<std::shared_ptr<served_request>(http_request, time_point arrived,
                                                  answer_function)>
        serve;
    /// Whether the request may start while earlier ones of its connection run. A request behind an
    /// answer that closes the connection is sent again by its caller, so only repeatable ones may.
    std::function<bool(const request_head&)> may_overtake;
    /// The answer to bytes that are no acceptable request.
    std::function<http_answer(decode_state)> reject;
    std::function<caller_limits()> limits;
};

class server_connection;

/// An HTTP/1.1 server on the node's event loop. Requests that follow on a connection before earlier
/// ones are answered are started as may_overtake allows and answered in order. Reading goes on
/// while a request runs, so that a caller's close is seen at once.
class http_server {
public:
    http_server(boost::asio::io_context& loop, server_callbacks callbacks);

    /// Binds and listens. False when the address cannot be used; see last_failure().
    bool listen(const std::string& address);

    /// From now on each answer closes its connection.
    void begin_stop() { this->stopping = true; }

    /// Closes the listener and all connections.
    void close();

    /// Requests that were read and not yet answered.
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
