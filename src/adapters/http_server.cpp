#include "adapters/http_server.hpp"

#include "adapters/address.hpp"
#include "adapters/server_stop.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>
#include <vector>

#include <civetweb.h>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

request_head read_head(const mg_request_info& info)
{
    request_head head;
    head.method = info.request_method == nullptr ? "" : info.request_method;
    head.target = info.request_uri == nullptr ? "" : info.request_uri;
    if (info.query_string != nullptr) {
        head.target += '?';
        head.target += info.query_string;
    }
    const int count = std::clamp(info.num_headers, 0, MG_MAX_HEADERS);
    for (int index = 0; index < count; ++index) {
        const auto& header = info.http_headers[index];
        if (header.name != nullptr && header.value != nullptr) {
            head.headers.push_back({header.name, header.value});
        }
    }
    return head;
}

bool ends_connection(const mg_request_info& info)
{
    for (int index = 0; index < std::clamp(info.num_headers, 0, MG_MAX_HEADERS); ++index) {
        const auto& header = info.http_headers[index];
        if (equal_ignoring_case(header.name, "Connection") &&
            std::ranges::any_of(split_list(header.value), [](std::string_view token) {
                return equal_ignoring_case(token, "close");
            })) {
            return true;
        }
    }
    return false;
}

} // namespace

struct http_server::implementation {
    mg_context* context = nullptr;
    http_server_options options;
    http_handler handler;
    std::atomic<bool> closing = false;
    std::atomic<bool> stopping = false;

    int handle(mg_connection* connection);
    int handle_error(mg_connection* connection, int status, const char* message);
};

int http_server::implementation::handle(mg_connection* connection)
{
    if (this->stopping) {
        // Only the connection that wakes up the accepting thread; no client's request comes here.
        mg_disable_connection_keep_alive(connection);
        return 503;
    }
    const mg_request_info& info = *mg_get_request_info(connection);
    http_exchange exchange{connection, read_head(info), this->options.request_timeout};
    if (info.num_headers >= MG_MAX_HEADERS) {
        // The library drops further headers silently, so that framing headers could be missed.
        exchange.set_fault(request_fault::header_too_large, "too many headers");
    }
    else if (info.http_version == nullptr || std::string_view{info.http_version} != "1.1") {
        exchange.set_fault(request_fault::malformed, "only HTTP/1.1 is served");
    }
    else if (auto fault = find_fault(exchange.head())) {
        exchange.set_fault(request_fault::malformed, std::move(*fault));
    }
    if (exchange.fault() != request_fault::none || this->closing || ends_connection(info)) {
        exchange.close();
    }
    this->handler(exchange);
    if (!exchange.has_sent()) {
        exchange.close();
    }
    return exchange.status() == 0 ? 500 : exchange.status();
}

int http_server::implementation::handle_error(mg_connection* connection, int status,
                                              const char* message)
{
    http_exchange exchange{connection, {}, this->options.request_timeout};
    const bool is_large = status == 413 || status == 431 || status == 414;
    exchange.set_fault(is_large ? request_fault::header_too_large : request_fault::malformed,
                       message == nullptr ? "" : message);
    exchange.close();
    this->handler(exchange);
    return 0;
}

http_exchange::http_exchange(mg_connection* handle, request_head received,
                             std::chrono::milliseconds timeout)
    : connection(handle), request(std::move(received)), body_deadline(boot_clock::now() + timeout)
{
}

void http_exchange::set_fault(request_fault value, std::string text)
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
        // Trailers after a chunked body are not read, so the connection cannot be used again.
        this->close();
    }
    return outcome;
}

body_outcome http_exchange::read_until_end(std::uint64_t limit, std::string& body)
{
    std::array<char, 16384> buffer{};
    while (true) {
        const int count = mg_read(this->connection, buffer.data(), buffer.size());
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
    this->unsent = std::move(text);
}

bool http_exchange::write(std::string_view bytes)
{
    if (bytes.empty() || !this->has_body) {
        return true;
    }
    std::string text = std::exchange(this->unsent, {});
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
    std::string text = std::exchange(this->unsent, {});
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

http_server::http_server(std::unique_ptr<implementation> parts) : impl(std::move(parts)) {}

std::unique_ptr<http_server> http_server::start(const http_server_options& options,
                                                http_handler handler)
{
    auto parts = std::make_unique<implementation>();
    parts->options = options;
    parts->handler = std::move(handler);
    mg_callbacks callbacks{};
    callbacks.begin_request = [](mg_connection* connection) {
        return static_cast<implementation*>(mg_get_user_context_data(connection))
            ->handle(connection);
    };
    callbacks.http_error = [](mg_connection* connection, int status, const char* message) {
        return static_cast<implementation*>(mg_get_user_context_data(connection))
            ->handle_error(connection, status, message);
    };
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    const std::string threads = std::to_string(options.threads);
    const std::string request_timeout = std::to_string(options.request_timeout.count());
    const std::string keep_alive = std::to_string(options.keep_alive_timeout.count());
    const std::string header_bytes = std::to_string(options.max_header_bytes);
    const std::vector<const char*> settings{"listening_ports",
                                            options.address.c_str(),
                                            "num_threads",
                                            threads.c_str(),
                                            "request_timeout_ms",
                                            request_timeout.c_str(),
                                            "keep_alive_timeout_ms",
                                            keep_alive.c_str(),
                                            "max_request_size",
                                            header_bytes.c_str(),
                                            "enable_keep_alive",
                                            "yes",
                                            "tcp_nodelay",
                                            "1",
                                            "decode_url",
                                            "no",
                                            nullptr};
    parts->context = mg_start(&callbacks, parts.get(), const_cast<const char**>(settings.data()));
    if (parts->context == nullptr) {
        fail("listen", options.address, "the address cannot be bound");
        return nullptr;
    }
    mg_server_port port{};
    mg_get_server_ports(parts->context, 1, &port);
    const std::string host = options.address.substr(0, options.address.rfind(':'));
    std::unique_ptr<http_server> server{new http_server{std::move(parts)}};
    server->bound_address = fmt::format("{}:{}", host, port.port);
    return server;
}

http_server::~http_server()
{
    this->stop();
}

void http_server::close_after_answers()
{
    this->impl->closing = true;
}

void http_server::stop()
{
    if (this->impl != nullptr && this->impl->context != nullptr) {
        this->impl->stopping = true;
        stop_server(std::exchange(this->impl->context, nullptr),
                    parse_address(this->bound_address).value_or(ip_address{}));
    }
}

} // namespace dragonflyroad
