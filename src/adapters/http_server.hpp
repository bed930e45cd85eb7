#pragma once

#include "adapters/http_exchange.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflyroad {

struct http_server_options {
    /// Numeric "ip:port"; port 0 takes a free one.
    std::string address = "127.0.0.1:0";
    /// One worker serves one open connection, so this is also the most clients served at a time.
    int threads = 64;
    /// Longest time a client may take to send a request's headers, or its body.
    std::chrono::milliseconds request_timeout{10'000};
    /// Longest time an open connection may stay without a request.
    std::chrono::milliseconds keep_alive_timeout{5'000};
    std::size_t max_header_bytes = 16U << 10U;
};

using http_handler = std::function<void(http_exchange&)>;

/// An HTTP/1.1 server on one address. The handler runs on a worker thread of its own for each open
/// connection; it also receives the requests that the server could not parse (see fault()).
class http_server {
public:
    /// Returns nothing when the address cannot be bound.
    static std::unique_ptr<http_server> start(const http_server_options& options,
                                              http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// "ip:port" with the port that was bound.
    const std::string& address() const { return this->bound_address; }

    /// From now on every answer closes its connection.
    void close_after_answers();

    /// Stops listening, waits for the requests that run, and closes all connections.
    void stop();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> impl;
    std::string bound_address;
};

} // namespace dragonflyroad
