#pragma once

#include "adapters/http_message.hpp"
#include "core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

struct mg_connection;

namespace dragonflyroad {

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
    bool body_read = false;
    bool closing = false;
    int sent_status = 0;
};

} // namespace dragonflyroad
