#pragma once

#include "adapters/http_message.hpp"
#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

struct mg_connection;

namespace dragonflyroad {

enum class request_head_error { none, malformed, header_too_large };
enum class body_outcome { complete, too_large, malformed };

/// One request on a client's connection and its response. Not thread-safe.
class http_exchange {
public:
    http_exchange(mg_connection* handle, request_head received, std::chrono::milliseconds timeout);

    const request_head& head() const { return this->request; }

    /// The error that the server found in the request head before it called the handler.
    request_head_error head_error() const { return this->server_fault; }
    const std::string& head_error_detail() const { return this->detail; }
    void set_head_error(request_head_error value, std::string text);

    /// Reads the body, `limit` bytes at most. After any outcome but `complete` the connection is
    /// closed once the response is sent, because the rest of the body is not read.
    body_outcome read_body(std::uint64_t limit, std::string& body);

    /// Sends a complete response. Returns false if the client has disconnected.
    bool send(int status, const http_headers& headers, std::string_view body);

    /// Starts a response of the given length, or of unknown length (sent in chunks). Nothing is
    /// sent before the first write() or finish(), so that begin() can still be called with another
    /// head.
    void begin(const response_head& head);
    /// Sends body bytes. Blocks while the client does not read. Returns false if it has
    /// disconnected.
    bool write(std::string_view bytes);
    /// Ends the response. Returns false if the client has disconnected.
    bool finish();

    /// Closes the connection after this exchange, so that the client can detect a response that was
    /// begun but not finished.
    void close();

    /// Whether any byte of a response may have been sent.
    bool has_sent() const { return this->sent; }
    /// The status of the response; 0 if none was begun.
    int status() const { return this->sent_status; }

private:
    bool write_all(std::string_view bytes);
    body_outcome read_until_end(std::uint64_t limit, std::string& body);
    void send_continue();

    mg_connection* connection;
    request_head request;
    time_point body_deadline;
    request_head_error server_fault = request_head_error::none;
    std::string detail;
    std::string unsent_head;
    bool sent = false;
    bool chunked = false;
    bool has_body = true;
    bool body_read = false;
    bool closing = false;
    int sent_status = 0;
};

} // namespace dragonflyroad
