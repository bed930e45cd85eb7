#include "mesh/http_codec.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

namespace beast_http = boost::beast::http;

/// Upper bound on the head of a response in bytes; upstreams are expected to stay far below it.
constexpr std::size_t max_response_header_bytes = 64U << 10U;

/// Upper bound on the bytes of an incomplete head, chunk header or trailer. The parser limits only
/// heads, so a chunk header without an end would use up the memory.
constexpr std::size_t max_unparsed_bytes = 128U << 10U;

/// Upper bound on the interim (1xx) responses to one request; upstreams send at most a few.
constexpr int max_interim_responses = 16;

/// The statuses that RFC 9110 defines classes for, and the one that changes the protocol.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;

constexpr std::string_view head_end = "\r\n\r\n";

/// Memory of a header field beside its bytes: its place in the parser, and in two copies of the
/// request's headers.
constexpr std::size_t field_memory_bytes = 256;

/// Steps in which the memory for a body without a stated length is reserved.
constexpr std::size_t body_step_bytes = 64U << 10U;

template<typename Fields>
http_headers copy_headers(const Fields& fields)
{
    http_headers headers;
    for (const auto& field : fields) {
        headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return headers;
}

decode_state to_state(const boost::system::error_code& error)
{
    if (!error || error == beast_http::error::need_more) {
        return decode_state::incomplete;
    }
    if (error == beast_http::error::header_limit) {
        return decode_state::header_too_large;
    }
    return error == beast_http::error::body_limit ? decode_state::body_too_large
                                                  : decode_state::malformed;
}

/// Feeds the buffer to a parser until the message is complete, more bytes are needed or an error is
/// found. The parser must not be eager: an eager one goes on with a body that follows its head in
/// the buffer although the head has exceeded the limit, and reserves memory for the stated length.
template<typename Parser>
decode_state feed(Parser& parser, std::string& buffer)
{
    while (!parser.is_done() && !buffer.empty()) {
        boost::system::error_code error;
        const std::size_t used = parser.put(boost::asio::buffer(buffer), error);
        buffer.erase(0, used);
        if (error || used == 0) {
            return buffer.size() > max_unparsed_bytes ? decode_state::malformed : to_state(error);
        }
    }
    return parser.is_done() ? decode_state::complete : decode_state::incomplete;
}

} // namespace

struct request_decoder::parser_holder {
    /// Passes the head to the parser when all of it is there: the parsed form of many short fields
    /// takes twenty times their bytes.
    decode_state decode_head(std::string& buffer);

    /// Whether the head was read and does not tell where the body ends.
    bool has_unknown_end() const;

    beast_http::request_parser<beast_http::string_body> parser;
    bool expect_continue_taken = false;
    bool has_bytes = false;
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    /// Bytes of the buffer in which the end of the head does not begin.
    std::size_t searched_bytes = 0;
    std::size_t head_memory = 0;
};

decode_state request_decoder::parser_holder::decode_head(std::string& buffer)
{
    // Empty lines and other bytes that cannot begin a method are rejected at once.
    if (!buffer.empty() && !is_token(std::string_view{buffer}.substr(0, 1))) {
        return decode_state::malformed;
    }
    const std::size_t end = buffer.find(head_end, this->searched_bytes);
    const std::size_t head_bytes = end == std::string::npos ? buffer.size() : end + head_end.size();
    if (head_bytes > this->max_header_bytes) {
        return decode_state::header_too_large;
    }
    if (end == std::string::npos) {
        this->searched_bytes = buffer.size() - std::min(buffer.size(), head_end.size() - 1);
        return decode_state::incomplete;
    }
    const decode_state result = feed(this->parser, buffer);
    return this->has_unknown_end() ? decode_state::malformed : result;
}

bool request_decoder::parser_holder::has_unknown_end() const
{
    // The parser takes a request whose transfer coding does not end with chunked as one without a
    // body, and the body would be decoded as the next request.
    const auto& fields = this->parser.get();
    return this->parser.is_header_done() &&
           fields.count(beast_http::field::transfer_encoding) != 0 &&
           find_framing_fault(copy_headers(fields)).has_value();
}

request_decoder::request_decoder(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : state(std::make_shared<parser_holder>())
{
    this->state->parser.header_limit(static_cast<std::uint32_t>(max_header_bytes));
    this->state->parser.body_limit(max_body_bytes);
    this->state->max_header_bytes = max_header_bytes;
    this->state->max_body_bytes = max_body_bytes;
}

decode_state request_decoder::decode(std::string& buffer)
{
    this->state->has_bytes = this->state->has_bytes || !buffer.empty();
    if (!this->state->parser.is_header_done()) {
        return this->state->decode_head(buffer);
    }
    return feed(this->state->parser, buffer);
}

bool request_decoder::has_begun() const
{
    return this->state->has_bytes;
}

bool request_decoder::take_expect_continue()
{
    parser_holder& holder = *this->state;
    if (holder.expect_continue_taken || !holder.parser.is_header_done()) {
        return false;
    }
    holder.expect_continue_taken = true;
    return holder.parser.get()[beast_http::field::expect] == "100-continue";
}

bool request_decoder::has_head() const
{
    return this->state->parser.is_header_done();
}

std::size_t request_decoder::head_memory() const
{
    parser_holder& holder = *this->state;
    if (holder.head_memory == 0 && this->has_head()) {
        const auto& message = holder.parser.get();
        holder.head_memory = message.target().size();
        for (const auto& field : message) {
            holder.head_memory +=
                field_memory_bytes + field.name_string().size() + field.value().size();
        }
    }
    return holder.head_memory;
}

std::size_t request_decoder::body_size() const
{
    return this->state->parser.get().body().size();
}

std::size_t request_decoder::memory_needed() const
{
    if (!this->has_head()) {
        return 0;
    }
    if (const auto length = this->state->parser.content_length()) {
        return static_cast<std::size_t>(*length);
    }
    const std::size_t size = this->body_size();
    if (size == 0) {
        return 0;
    }
    // A growing string is copied to a buffer of twice its size until that exceeds the limit.
    const std::size_t steps = (2 * size + body_step_bytes - 1) / body_step_bytes;
    return std::min(steps * body_step_bytes, this->state->max_body_bytes + body_step_bytes);
}

http_request request_decoder::take(memory_reservation reservation)
{
    auto message = this->state->parser.release();
    http_request request;
    request.keeps_connection = message.keep_alive();
    request.head.method = std::string{message.method_string()};
    request.head.target = std::string{message.target()};
    request.head.headers = copy_headers(message);
    if (!message.body().empty()) {
        request.body = shared_bytes{std::move(message.body()), std::move(reservation)};
    }
    return request;
}

struct response_decoder::parser_holder {
    using parser_type = beast_http::response_parser<beast_http::string_body>;

    void reset()
    {
        this->parser.emplace();
        this->parser->header_limit(max_response_header_bytes);
        this->parser->body_limit(this->max_body_bytes);
        this->parser->skip(this->has_no_body);
    }

    /// Whether the status, once it was read, is one that a response to these requests can have. 101
    /// answers a request to change the protocol, which is never sent.
    bool has_valid_status() const
    {
        const unsigned status = this->parser->get().result_int();
        return !this->parser->is_header_done() ||
               (status >= min_status && status <= max_status && status != switching_protocols);
    }

    bool is_interim() const
    {
        return this->parser->is_header_done() && this->parser->get().result_int() < 200;
    }

    std::optional<parser_type> parser;
    int interim_responses = 0;
    std::size_t max_body_bytes = 0;
    bool has_no_body = false;
};

response_decoder::response_decoder(std::string_view request_method, std::size_t max_body_bytes)
    : state(std::make_shared<parser_holder>())
{
    this->state->max_body_bytes = max_body_bytes;
    this->state->has_no_body = request_method == "HEAD";
    this->state->reset();
}

decode_state response_decoder::decode(std::string& buffer)
{
    while (true) {
        const decode_state result = feed(*this->state->parser, buffer);
        if (!this->state->has_valid_status()) {
            return decode_state::malformed;
        }
        if (result != decode_state::complete || !this->state->is_interim()) {
            return result;
        }
        if (++this->state->interim_responses > max_interim_responses) {
            return decode_state::malformed;
        }
        this->state->reset();
    }
}

decode_state response_decoder::decode_end()
{
    auto& parser = *this->state->parser;
    if (!parser.is_header_done() || !parser.need_eof()) {
        return decode_state::malformed;
    }
    boost::system::error_code error;
    parser.put_eof(error);
    return error ? decode_state::malformed : decode_state::complete;
}

http_response response_decoder::take()
{
    auto message = this->state->parser->release();
    http_response answer;
    answer.status = static_cast<int>(message.result_int());
    answer.headers = copy_headers(message);
    answer.keeps_connection = message.keep_alive() && !message.need_eof();
    answer.body = std::move(message.body());
    return answer;
}

std::string encode_request_head(const request_head& head, std::size_t body_bytes)
{
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (const http_header& header : head.headers) {
        bytes += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    const bool may_omit_length = head.method == "GET" || head.method == "HEAD" ||
                                 head.method == "DELETE" || head.method == "OPTIONS";
    if (body_bytes > 0 || !may_omit_length) {
        bytes += fmt::format("Content-Length: {}\r\n", body_bytes);
    }
    bytes += "\r\n";
    return bytes;
}

std::string encode_request(const request_head& head, std::string_view body)
{
    return encode_request_head(head, body.size()).append(body);
}

std::string encode_response_head(const http_response& answer, std::string_view request_method)
{
    std::string bytes =
        fmt::format("HTTP/1.1 {} {}\r\n", answer.status, status_phrase(answer.status));
    for (const http_header& header : answer.headers) {
        bytes += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    if (answer.status != 204 && answer.status != 304 && request_method != "HEAD") {
        bytes += fmt::format("Content-Length: {}\r\n", answer.body.size());
    }
    if (!answer.keeps_connection) {
        bytes += "Connection: close\r\n";
    }
    bytes += "\r\n";
    return bytes;
}

std::string encode_response(const http_response& answer, std::string_view request_method)
{
    std::string bytes = encode_response_head(answer, request_method);
    if (request_method != "HEAD") {
        bytes += answer.body.str();
    }
    return bytes;
}

} // namespace dragonflyroad
