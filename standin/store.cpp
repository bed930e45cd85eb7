#include "standin/store.hpp"

#include "adapters/server_stop.hpp"
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

// A pending watch holds a thread; this many nodes and commands can use one stand-in.
constexpr const char* thread_count = "64";
constexpr std::size_t largest_body = 4U << 20U;
constexpr std::uint64_t longest_wait_ms = 600'000;

struct request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;

    bool is(std::string_view wanted, std::string_view prefix) const
    {
        return this->method == wanted && this->path.starts_with(prefix);
    }
    std::string after(std::string_view prefix) const { return this->path.substr(prefix.size()); }
    /// A number of the query, or of the text given; nothing when it is missing or malformed.
    std::optional<std::uint64_t> number(const char* name) const;
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.begin(), text.end(), value);
    const bool is_valid = !text.empty() && error == std::errc{} && end == text.end();
    return is_valid ? std::optional{value} : std::nullopt;
}

std::optional<std::uint64_t> request::number(const char* name) const
{
    std::array<char, 32> text{};
    const int size =
        mg_get_var(this->query.data(), this->query.size(), name, text.data(), text.size());
    return size < 0 ? std::nullopt : parse_number({text.data(), static_cast<std::size_t>(size)});
}

std::optional<request> receive(mg_connection* connection)
{
    const mg_request_info* info = mg_get_request_info(connection);
    request received{info->request_method, info->local_uri,
                     info->query_string == nullptr ? "" : info->query_string, ""};
    std::array<char, 16384> buffer{};
    int size = 0;
    while ((size = mg_read(connection, buffer.data(), buffer.size())) > 0) {
        received.body.append(buffer.data(), static_cast<std::size_t>(size));
        if (received.body.size() > largest_body) {
            return std::nullopt;
        }
    }
    const bool is_whole = info->content_length < 0 ||
                          received.body.size() == static_cast<std::size_t>(info->content_length);
    return is_whole ? std::optional{received} : std::nullopt;
}

store_answer malformed(const std::string& detail)
{
    return {true, 400, 0, detail + "\n"};
}

store_answer watch(store_state& state, const request& asked)
{
    const auto after = asked.number("after");
    const auto wait = asked.number("wait_ms");
    if (!after || !wait) {
        return malformed("after and wait_ms must be whole numbers");
    }
    const milliseconds bounded{std::min(*wait, longest_wait_ms)};
    return state.watch(asked.after("/v1/watch/"), *after, boot_clock::now() + bounded);
}

store_answer use_lease(store_state& state, const request& asked)
{
    constexpr std::string_view prefix = "/v1/lease/";
    constexpr std::string_view suffix = "/renew";
    if (asked.path == "/v1/lease") {
        const auto ttl = asked.number("ttl_ms");
        return ttl && *ttl > 0 && *ttl <= longest_wait_ms
                   ? state.grant_lease(milliseconds{*ttl})
                   : malformed("ttl_ms must be a number from 1 to 600000");
    }
    if (!asked.path.starts_with(prefix) || !asked.path.ends_with(suffix) ||
        asked.path.size() <= prefix.size() + suffix.size()) {
        return malformed("unknown path");
    }
    const std::string text =
        asked.path.substr(prefix.size(), asked.path.size() - prefix.size() - suffix.size());
    const auto id = parse_number(text);
    return id ? state.renew_lease(*id) : malformed("the lease id must be a whole number");
}

store_answer use_control(store_state& state, const request& asked)
{
    if (asked.is("GET", "/v1/calls")) {
        return {true, 200, 0, nlohmann::json(state.calls()).dump() + "\n"};
    }
    const auto fault = parse_store_fault(asked.body);
    if (!fault) {
        return malformed(last_failure().detail);
    }
    state.set_fault(*fault);
    return {};
}

store_answer answer(store_state& state, const request& asked)
{
    constexpr std::string_view values = "/v1/kv/";
    const auto version = asked.number("version");
    if (asked.is("GET", values)) {
        return state.read(asked.after(values));
    }
    if (asked.is("PUT", values) && version) {
        return state.write(asked.after(values), asked.body, *version,
                           asked.number("lease").value_or(0));
    }
    if (asked.is("DELETE", values) && version) {
        return state.remove(asked.after(values), *version);
    }
    if (asked.is("GET", "/v1/watch/")) {
        return watch(state, asked);
    }
    if (asked.is("POST", "/v1/lease")) {
        return use_lease(state, asked);
    }
    if (asked.is("GET", "/v1/calls") || asked.is("POST", "/v1/fault")) {
        return use_control(state, asked);
    }
    return malformed("unknown path, or a write without a version");
}

int handle(mg_connection* connection, void* data)
{
    const auto asked = receive(connection);
    if (!asked) {
        return 400;
    }
    const store_answer reply = answer(*static_cast<store_state*>(data), *asked);
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
    const auto wanted = parse_address(address);
    if (!wanted) {
        fail("store_start", address, "not of the form ip:port");
        return false;
    }
    const std::array<const char*, 9> options{"listening_ports",
                                             address.c_str(),
                                             "num_threads",
                                             thread_count,
                                             "tcp_nodelay",
                                             "1",
                                             "decode_url",
                                             "no",
                                             nullptr};
    mg_init_library(MG_FEATURES_DEFAULT);
    this->values->resume();
    this->server = mg_start(nullptr, nullptr, const_cast<const char**>(options.data()));
    if (this->server == nullptr) {
        fail("store_start", address, "cannot listen on the address");
        return false;
    }
    mg_set_request_handler(this->server, "/v1/", handle, this->values.get());
    mg_server_port port{};
    mg_get_server_ports(this->server, 1, &port);
    this->listening = {wanted->ip, static_cast<std::uint16_t>(port.port)};
    return true;
}

const ip_address& store_server::address() const
{
    return this->listening;
}

void store_server::stop()
{
    if (this->server == nullptr) {
        return;
    }
    this->values->stop();
    stop_server(this->server, this->listening);
    mg_exit_library();
    this->server = nullptr;
}

store_state& store_server::state()
{
    return *this->values;
}

} // namespace dragonflyroad::standin
