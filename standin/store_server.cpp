#include "standin/store_server.hpp"

#include "adapters/civet_server_stop.hpp"
#include "core/failure.hpp"
#include "standin/store_fault_json.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <civetweb.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace dragonflyroad::standin {
namespace {

using std::chrono::milliseconds;

// A pending watch occupies a thread, so this limits the number of concurrent clients.
constexpr const char* server_threads = "64";
constexpr std::size_t max_request_body = 4U << 20U;
constexpr std::uint64_t max_wait_ms = 600'000;

/// An HTTP request to the store.
struct store_request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;

    bool matches(std::string_view expected_method, std::string_view prefix) const
    {
        return this->method == expected_method && this->path.starts_with(prefix);
    }
    /// The path without the prefix.
    std::string path_after(std::string_view prefix) const
    {
        return this->path.substr(prefix.size());
    }
    /// A number in the query; nothing when it is missing or malformed.
    std::optional<std::uint64_t> query_number(const char* name) const;
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.begin(), text.end(), value);
    const bool is_valid = !text.empty() && error == std::errc{} && end == text.end();
    return is_valid ? std::optional{value} : std::nullopt;
}

std::optional<std::uint64_t> store_request::query_number(const char* name) const
{
    std::array<char, 32> text{};
    const int size =
        mg_get_var(this->query.data(), this->query.size(), name, text.data(), text.size());
    return size < 0 ? std::nullopt : parse_number({text.data(), static_cast<std::size_t>(size)});
}

/// Returns nothing when the body is too large or shorter than its Content-Length.
std::optional<store_request> read_request(mg_connection* connection)
{
    const mg_request_info* info = mg_get_request_info(connection);
    store_request received{info->request_method, info->local_uri,
                           info->query_string == nullptr ? "" : info->query_string, ""};
    std::array<char, 16384> buffer{};
    int size = 0;
    while ((size = mg_read(connection, buffer.data(), buffer.size())) > 0) {
        received.body.append(buffer.data(), static_cast<std::size_t>(size));
        if (received.body.size() > max_request_body) {
            return std::nullopt;
        }
    }
    const bool is_complete = info->content_length < 0 ||
                             received.body.size() == static_cast<std::size_t>(info->content_length);
    return is_complete ? std::optional{received} : std::nullopt;
}

store_response bad_request(const std::string& detail)
{
    return {true, 400, 0, detail + "\n"};
}

store_response handle_watch(store_state& state, const store_request& request)
{
    const auto after = request.query_number("after");
    const auto wait = request.query_number("wait_ms");
    if (!after || !wait) {
        return bad_request("after and wait_ms must be whole numbers");
    }
    const milliseconds bounded{std::min(*wait, max_wait_ms)};
    return state.watch(request.path_after("/v1/watch/"), *after, boot_clock::now() + bounded);
}

store_response handle_lease(store_state& state, const store_request& request)
{
    constexpr std::string_view prefix = "/v1/lease/";
    constexpr std::string_view suffix = "/renew";
    if (request.path == "/v1/lease") {
        const auto ttl = request.query_number("ttl_ms");
        return ttl && *ttl > 0 && *ttl <= max_wait_ms
                   ? state.grant_lease(milliseconds{*ttl})
                   : bad_request("ttl_ms must be a number from 1 to 600000");
    }
    if (!request.path.starts_with(prefix) || !request.path.ends_with(suffix) ||
        request.path.size() <= prefix.size() + suffix.size()) {
        return bad_request("unknown path");
    }
    const std::string text =
        request.path.substr(prefix.size(), request.path.size() - prefix.size() - suffix.size());
    const auto id = parse_number(text);
    return id ? state.renew_lease(*id) : bad_request("the lease id must be a whole number");
}

store_response handle_control(store_state& state, const store_request& request)
{
    if (request.matches("GET", "/v1/calls")) {
        return {true, 200, 0, nlohmann::json(state.calls()).dump() + "\n"};
    }
    const auto fault = parse_store_fault(request.body);
    if (!fault) {
        return bad_request(last_failure().detail);
    }
    state.set_fault(*fault);
    return {};
}

store_response dispatch_request(store_state& state, const store_request& request)
{
    constexpr std::string_view kv_prefix = "/v1/kv/";
    const auto version = request.query_number("version");
    if (request.matches("GET", kv_prefix)) {
        return state.read(request.path_after(kv_prefix));
    }
    if (request.matches("PUT", kv_prefix) && version) {
        return state.write(request.path_after(kv_prefix), request.body, *version,
                           request.query_number("lease").value_or(0));
    }
    if (request.matches("DELETE", kv_prefix) && version) {
        return state.remove(request.path_after(kv_prefix), *version);
    }
    if (request.matches("GET", "/v1/watch/")) {
        return handle_watch(state, request);
    }
    if (request.matches("POST", "/v1/lease")) {
        return handle_lease(state, request);
    }
    if (request.matches("GET", "/v1/calls") || request.matches("POST", "/v1/fault")) {
        return handle_control(state, request);
    }
    return bad_request("unknown path, or a write without a version");
}

int handle_request(mg_connection* connection, void* data)
{
    const auto request = read_request(connection);
    if (!request) {
        return 400;
    }
    const store_response reply = dispatch_request(*static_cast<store_state*>(data), *request);
    if (!reply.replied) {
        mg_disable_connection_keep_alive(connection);
        return 444;
    }
    const std::string head =
        fmt::format("HTTP/1.1 {} {}\r\nX-Version: {}\r\nContent-Length: {}\r\n"
                    "Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
                    reply.status, mg_get_response_code_text(connection, reply.status),
                    reply.version, reply.body.size());
    mg_write(connection, head.data(), head.size());
    if (reply.status != 304) {
        mg_write(connection, reply.body.data(), reply.body.size());
    }
    return reply.status;
}

} // namespace

store_server::~store_server()
{
    this->stop();
}

bool store_server::start(const std::string& address)
{
    const auto parsed = parse_address(address);
    if (!parsed) {
        fail("store_start", address, "the address is not of the form ip:port");
        return false;
    }
    const std::array<const char*, 9> options{"listening_ports",
                                             address.c_str(),
                                             "num_threads",
                                             server_threads,
                                             "tcp_nodelay",
                                             "1",
                                             "decode_url",
                                             "no",
                                             nullptr};
    mg_init_library(MG_FEATURES_DEFAULT);
    this->data->resume();
    this->server = mg_start(nullptr, nullptr, const_cast<const char**>(options.data()));
    if (this->server == nullptr) {
        fail("store_start", address, "cannot listen on the address");
        return false;
    }
    mg_set_request_handler(this->server, "/v1/", handle_request, this->data.get());
    mg_server_port port{};
    mg_get_server_ports(this->server, 1, &port);
    this->bound_address = {parsed->ip, static_cast<std::uint16_t>(port.port)};
    return true;
}

const ip_address& store_server::address() const
{
    return this->bound_address;
}

void store_server::stop()
{
    if (this->server == nullptr) {
        return;
    }
    this->data->stop();
    stop_civet_server(this->server, this->bound_address);
    mg_exit_library();
    this->server = nullptr;
}

store_state& store_server::state()
{
    return *this->data;
}

} // namespace dragonflyroad::standin
