#pragma once

#include "adapters/http_message.hpp"
#include "core/shared_bytes.hpp"
#include "dispatch/memory_budget.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflyroad {

enum class decode_state {
    incomplete,
    complete,
    malformed,
    header_too_large,
    body_too_large,
    /// The process has no memory left for the body.
    memory_short
};

/// A complete request as read from a connection.
struct http_request {
    request_head head;
    shared_bytes body;
    bool keeps_connection = true;
};

/// A complete response as read from a connection.
struct http_response {
    int status = 0;
    http_headers headers;
    shared_bytes body;
    bool keeps_connection = true;
};

/// Decodes one request incrementally from a byte stream.
class request_decoder {
public:
    request_decoder(std::size_t max_header_bytes, std::size_t max_body_bytes);

    /// Consumes the bytes of the request from the front of the buffer.
    decode_state decode(std::string& buffer);

    /// Whether any bytes of the request have arrived.
    bool has_begun() const;

    /// Whether the head is complete and has `Expect: 100-continue`, in which case the caller waits
    /// for an interim response before it sends the body. Returns true at most once.
    bool take_expect_continue();

    /// Whether the head is complete.
    bool has_head() const;

    /// Memory that the parsed head takes up, here and in the request that is made of it; 0 before
    /// the head is complete.
    std::size_t head_memory() const;

    /// Bytes of the body that have been decoded so far.
    std::size_t body_size() const;

    /// Memory that the body takes up: its whole length if the head states it, otherwise what has
    /// arrived and the buffer to which it may be copied next.
    std::size_t memory_needed() const;

    /// Moves the request out; only valid after decode() returned complete. The body keeps the
    /// reservation.
    http_request take(memory_reservation reservation = {});

private:
    struct parser_holder;
    std::shared_ptr<parser_holder> state;
};

/// Decodes one response incrementally from a byte stream; skips interim (1xx) responses.
class response_decoder {
public:
    /// The method is needed because a response to HEAD has no body, whatever its headers state.
    response_decoder(std::string_view request_method, std::size_t max_body_bytes);

    decode_state decode(std::string& buffer);

    /// Handles the orderly end of the stream, which completes a response without a length.
    decode_state decode_end();

    http_response take();

private:
    struct parser_holder;
    std::shared_ptr<parser_holder> state;
};

/// Serialises a request and adds Content-Length where its method or body needs one.
std::string encode_request(const request_head& head, std::string_view body);

/// The same without the body.
std::string encode_request_head(const request_head& head, std::size_t body_bytes);

/// Serialises a response up to its body. Adds no Content-Length for statuses without a body (204,
/// 304) and for responses to HEAD.
std::string encode_response_head(const http_response& answer, std::string_view request_method);

/// The same with the body, except in responses to HEAD.
std::string encode_response(const http_response& answer, std::string_view request_method);

} // namespace dragonflyroad
