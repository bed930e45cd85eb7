#include "adapters/http_exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <civetweb.h>
#include <fmt/format.h>

namespace dragonflyroad {

http_exchange::http_exchange(mg_connection* handle, request_head received,
                             std::chrono::milliseconds timeout)
    : connection(handle), request(std::move(received)), body_deadline(boot_clock::now() + timeout)
{
}

void http_exchange::set_head_error(request_head_error value, std::string text)
{
    this->server_fault = value;
    this->detail = std::move(text);
}

body_outcome http_exchange::read_body(std::uint64_t limit, std::string& body)
{
    const auto length = find_header(this->request.headers, "Content-Length");
    const bool is_chunked = find_header(this->request.headers, "Transfer-Encoding").has_value();
    if (!length && !is_chunked) {
        return body_outcome::complete;
    }
    this->body_read = true;
    const std::uint64_t expected = length ? parse_content_length(*length).value_or(0) : 0;
    if (expected > limit) {
        this->close();
        return body_outcome::too_large;
    }
    this->send_continue();
    const body_outcome outcome = this->read_until_end(length ? expected : limit, body);
    if (outcome == body_outcome::complete && length && body.size() != expected) {
        this->close();
        return body_outcome::malformed;
    }
    if (outcome != body_outcome::complete || is_chunked) {
        // Trailers after a chunked body are not read, so the connection cannot be reused.
        this->close();
    }
    return outcome;
}

body_outcome http_exchange::read_until_end(std::uint64_t limit, std::string& body)
{
    std::array<char, 16384> buffer{};
    while (true) {
        // One byte beyond the limit is enough to detect an oversized body; mg_read() waits until it
        // has read all requested bytes.
        const std::uint64_t read_size =
            std::min<std::uint64_t>(buffer.size(), limit - body.size() + 1);
        const int count = mg_read(this->connection, buffer.data(), read_size);
        if (count < 0) {
            return body_outcome::malformed;
        }
        if (count == 0) {
            return body_outcome::complete;
        }
        if (body.size() + static_cast<std::size_t>(count) > limit) {
            return body_outcome::too_large;
        }
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (boot_clock::now() > this->body_deadline) {
            return body_outcome::malformed;
        }
    }
}

void http_exchange::send_continue()
{
    const auto expectation = find_header(this->request.headers, "Expect");
    if (expectation && equal_ignoring_case(*expectation, "100-continue")) {
        this->write_all("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

bool http_exchange::send(int status, const http_headers& headers, std::string_view body)
{
    this->begin({status, headers, body.size()});
    return this->write(body) && this->finish();
}

void http_exchange::begin(const response_head& head)
{
    const auto length = find_header(this->request.headers, "Content-Length");
    if (!this->body_read &&
        ((length && *length != "0") || find_header(this->request.headers, "Transfer-Encoding"))) {
        // CivetWeb would otherwise read the rest of the body, however slowly it arrives.
        this->close();
    }
    this->sent_status = head.status;
    const bool is_bodiless_status = head.status == 204 || head.status == 304;
    this->has_body = !is_bodiless_status && this->request.method != "HEAD";
    this->chunked = this->has_body && !head.length;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, status_phrase(head.status));
    for (const http_header& header : head.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    if (head.length && head.status != 204) {
        text += fmt::format("Content-Length: {}\r\n", *head.length);
    }
    if (this->chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += this->closing ? "Connection: close\r\n\r\n" : "\r\n";
    this->unsent_head = std::move(text);
}

bool http_exchange::write(std::string_view bytes)
{
    if (bytes.empty() || !this->has_body) {
        return true;
    }
    std::string text = std::exchange(this->unsent_head, {});
    if (this->chunked) {
        text += fmt::format("{:x}\r\n", bytes.size());
        text.append(bytes).append("\r\n");
    }
    else if (text.empty()) {
        return this->write_all(bytes);
    }
    else {
        text.append(bytes);
    }
    return this->write_all(text);
}

bool http_exchange::finish()
{
    std::string text = std::exchange(this->unsent_head, {});
    if (this->chunked) {
        text += "0\r\n\r\n";
    }
    return text.empty() || this->write_all(text);
}

void http_exchange::close()
{
    this->closing = true;
    mg_disable_connection_keep_alive(this->connection);
}

bool http_exchange::write_all(std::string_view bytes)
{
    this->sent = true;
    const int written = mg_write(this->connection, bytes.data(), bytes.size());
    if (written < 0 || static_cast<std::size_t>(written) != bytes.size()) {
        this->close();
        return false;
    }
    return true;
}

} // namespace dragonflyroad
