#pragma once

#include "adapters/http_message.hpp"
#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct mg_connection;

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

enum class request_fault { none, malformed, header_too_large };
enum class body_outcome { complete, too_large, malformed };

/// One request on a client's connection and the way to answer it. Used by one thread.
class http_exchange {
public:
    http_exchange(mg_connection* handle, request_head received, std::chrono::milliseconds timeout);

    const request_head& head() const { return this->request; }

    /// What the server itself found wrong before the handler was called.
    request_fault fault() const { return this->server_fault; }
    const std::string& fault_detail() const { return this->detail; }
    void set_fault(request_fault value, std::string text);

    /// Reads the body, `limit` bytes at most. After anything but `complete` the connection is
    /// closed once the answer is sent, because the rest of the body is not read.
    body_outcome read_body(std::uint64_t limit, std::string& body);

    /// Sends a whole answer. False when the client is gone.
    bool send(int status, const http_headers& headers, std::string_view body);

    /// Starts an answer of that length, or of unknown length (sent in chunks). Nothing is sent
    /// before the first write() or finish(), so a begun answer can still be replaced by another.
    void begin(const response_head& head);
    /// Blocks while the client does not read; false when it is gone.
    bool write(std::string_view bytes);
    /// Ends the answer. False when the client is gone.
    bool finish();

    /// Closes the connection after this exchange. An answer that has begun and was not finished is
    /// thereby visibly incomplete.
    void close();

    /// Whether any byte of an answer may have been sent.
    bool has_sent() const { return this->sent; }
    /// The status of the answer, or 0.
    int status() const { return this->sent_status; }

private:
    bool write_all(std::string_view bytes);
    body_outcome read_until_end(std::uint64_t limit, std::string& body);
    void send_continue();

    mg_connection* connection;
    request_head request;
    time_point body_deadline;
    request_fault server_fault = request_fault::none;
    std::string detail;
    std::string unsent;
    bool sent = false;
    bool chunked = false;
    bool has_body = true;
    bool closing = false;
    int sent_status = 0;
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
