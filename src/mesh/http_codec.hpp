#pragma once

#include "adapters/http_message.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflyroad {

enum class decode_state { incomplete, complete, malformed, header_too_large, body_too_large };

/// A request as read from a connection.
struct http_request {
    request_head head;
    std::string body;
    bool keeps_connection = true;
};

/// A whole answer as read from a connection.
struct http_answer {
    int status = 0;
    http_headers headers;
    std::string body;
    bool keeps_connection = true;
};

/// Decodes one request from a byte stream that arrives in pieces.
class request_decoder {
public:
    request_decoder(std::size_t max_header_bytes, std::size_t max_body_bytes);

    /// Takes what belongs to the request off the front of the buffer.
    decode_state decode(std::string& buffer);

    /// Whether some bytes of the request have arrived.
    bool has_begun() const;

    /// Whether the head is complete and the caller waits for leave to send the body. True once.
    bool take_expectation();

    /// The request, after decode() returned complete.
    http_request take();

private:
    struct parser_holder;
    std::shared_ptr<parser_holder> state;
};

/// Decodes one answer from a byte stream that arrives in pieces; interim answers are passed over.
class answer_decoder {
public:
    /// An answer to HEAD has no body whatever its headers say.
    answer_decoder(std::string_view request_method, std::size_t max_body_bytes);

    decode_state decode(std::string& buffer);

    /// The stream has ended in order. An answer without a length is complete then.
    decode_state decode_end();

    http_answer take();

private:
    struct parser_holder;
    std::shared_ptr<parser_holder> state;
};

/// The bytes of a request with the framing that its body needs.
std::string encode_request(const request_head& head, std::string_view body);

/// The bytes of an answer. Answers without a body by their status get no length.
std::string encode_answer(const http_answer& answer, std::string_view request_method);

} // namespace dragonflyroad
