#pragma once

#include "adapters/http_exchange.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonflyroad {

struct http_server_options {
    /// Numeric "ip:port"; port 0 selects a free port.
    std::string address = "127.0.0.1:0";
    /// Number of worker threads. Each serves one open connection, so this also bounds the number of
    /// clients served at a time.
    int threads = 64;
    /// Maximum time for a client to send a request's headers, and again for its body.
    std::chrono::milliseconds request_timeout{10'000};
    /// Maximum idle time of an open connection.
    std::chrono::milliseconds keep_alive_timeout{5'000};
    std::size_t max_header_bytes = 16U << 10U;
};

using http_handler = std::function<void(http_exchange&)>;

/// An HTTP/1.1 server on one address. Each open connection has its own worker thread, on which the
/// handler runs. The handler also receives requests that the server could not parse; see
/// http_exchange::head_error().
class http_server {
public:
    /// Returns nullptr if the address cannot be bound; the reason is in last_failure().
    static std::unique_ptr<http_server> start(const http_server_options& options,
                                              http_handler handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /// "ip:port" with the actual port.
    const std::string& address() const { return this->bound_address; }

    /// Makes the server close each connection after its next response.
    void close_after_responses();

    /// Stops listening, waits for the running requests, and closes all connections.
    void stop();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> impl;
    std::string bound_address;
};

} // namespace dragonflyroad
