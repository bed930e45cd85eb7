#include "adapters/http_server.hpp"

#include "adapters/address.hpp"
#include "adapters/civet_server_stop.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

#include <civetweb.h>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

request_head copy_request_head(const mg_request_info& info)
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

std::size_t head_size(const mg_request_info& info)
{
    const request_head head = copy_request_head(info);
    std::size_t size = head.method.size() + head.target.size();
    for (const http_header& header : head.headers) {
        size += header.name.size() + header.value.size() + 4;
    }
    return size;
}

bool requests_close(const mg_request_info& info)
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
    void handle_close(const mg_connection* connection);
};

int http_server::implementation::handle(mg_connection* connection)
{
    if (this->stopping) {
        // Meant for the connection of stop_civet_server() that wakes up the accepting thread. A
        // client's request that arrives this late is closed without a response.
        mg_disable_connection_keep_alive(connection);
        return 503;
    }
    const mg_request_info& info = *mg_get_request_info(connection);
    http_exchange exchange{connection, copy_request_head(info), this->options.request_timeout};
    if (info.num_headers >= MG_MAX_HEADERS) {
        // CivetWeb drops further headers silently, so that framing headers could be missed.
        exchange.set_head_error(request_head_error::header_too_large, "too many headers");
    }
    else if (head_size(info) > this->options.max_header_bytes) {
        exchange.set_head_error(request_head_error::header_too_large, "the headers are too long");
    }
    else if (info.http_version == nullptr || std::string_view{info.http_version} != "1.1") {
        exchange.set_head_error(request_head_error::malformed, "only HTTP/1.1 is served");
    }
    else if (auto fault = find_request_head_error(exchange.head())) {
        exchange.set_head_error(request_head_error::malformed, std::move(*fault));
    }
    if (exchange.head_error() != request_head_error::none || this->closing ||
        requests_close(info)) {
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
    const bool is_too_large = status == 413 || status == 431 || status == 414;
    exchange.set_head_error(is_too_large ? request_head_error::header_too_large
                                         : request_head_error::malformed,
                            message == nullptr ? "" : message);
    exchange.close();
    this->handler(exchange);
    return 0;
}

void http_server::implementation::handle_close(const mg_connection* connection)
{
    const mg_request_info* const info = mg_get_request_info(connection);
    const bool is_dropped_by_library = info != nullptr && info->request_uri != nullptr &&
                                       info->local_uri == nullptr &&
                                       std::string_view{info->request_uri}.starts_with("http");
    if (is_dropped_by_library && !this->stopping) {
        // CivetWeb closes the connection without a response if the target names another host.
        this->handle_error(const_cast<mg_connection*>(connection), 400, "the target is not a path");
    }
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
    callbacks.connection_close = [](const mg_connection* connection) {
        static_cast<implementation*>(mg_get_user_context_data(connection))
            ->handle_close(connection);
    };
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    const std::string threads = std::to_string(options.threads);
    const std::string request_timeout = std::to_string(options.request_timeout.count());
    const std::string keep_alive = std::to_string(options.keep_alive_timeout.count());
    // CivetWeb reports a head that exceeds its buffer as malformed. A buffer larger than the limit
    // lets the handler report most oversized heads as such.
    const std::string header_bytes = std::to_string(options.max_header_bytes * 4);
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

void http_server::close_after_responses()
{
    this->impl->closing = true;
}

void http_server::stop()
{
    if (this->impl != nullptr && this->impl->context != nullptr) {
        this->impl->stopping = true;
        stop_civet_server(std::exchange(this->impl->context, nullptr),
                          parse_address(this->bound_address).value_or(ip_address{}));
    }
}

} // namespace dragonflyroad
