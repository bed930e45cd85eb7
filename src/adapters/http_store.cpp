#include "adapters/http_store.hpp"

#include "core/failure.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <httplib.h>
#include <utility>

namespace dragonflyroad {
namespace {

using std::chrono::milliseconds;

// A watch asks the store to respond before the deadline, by a quarter of the time left but at most
// by this, so that a "no change" response arrives in time.
constexpr milliseconds max_watch_margin{250};

milliseconds time_left(time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
}

bool is_valid_key(const std::string& key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), [](unsigned char symbol) {
        return std::isalnum(symbol) != 0 || symbol == '/' || symbol == '-' || symbol == '_' ||
               symbol == '.';
    });
}

/// Validates the key and the deadline before a connection is opened.
bool validate_request(const char* step, const std::string& peer, const std::string& key,
                      milliseconds remaining)
{
    if (!is_valid_key(key)) {
        fail(step, peer, fmt::format("key \"{}\" has characters that are not allowed", key));
        return false;
    }
    if (remaining <= milliseconds::zero()) {
        fail(step, peer, "the deadline has passed");
        return false;
    }
    return true;
}

httplib::Client make_client(const ip_address& peer, milliseconds remaining)
{
    httplib::Client client{peer.ip, peer.port};
    client.set_connection_timeout(remaining);
    client.set_read_timeout(remaining);
    client.set_write_timeout(remaining);
    client.set_tcp_nodelay(true);
    return client;
}

/// Aborts a response that is still arriving at the deadline; the timeouts bound only single reads.
httplib::Progress abort_after(time_point deadline)
{
    return [deadline](std::uint64_t, std::uint64_t) { return boot_clock::now() < deadline; };
}

std::optional<std::uint64_t> parse_version(const httplib::Response& response)
{
    const std::string text = response.get_header_value("X-Version");
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    const bool is_valid = !text.empty() && error == std::errc{} && end == text.data() + text.size();
    return is_valid ? std::optional{version} : std::nullopt;
}

std::optional<store_value> to_value(const char* step, const std::string& peer,
                                    const httplib::Result& result)
{
    if (!result) {
        return fail(step, peer, httplib::to_string(result.error()));
    }
    const std::optional<std::uint64_t> version = parse_version(*result);
    switch (result->status) {
    case 404:
        return store_value{};
    case 200:
    case 304:
        if (!version) {
            return fail(step, peer, "the response has no valid X-Version");
        }
        return store_value{result->status == 200 ? result->body : "", *version};
    default:
        return fail(step, peer, fmt::format("unexpected HTTP status {}", result->status));
    }
}

write_result not_sent_result(const std::string& peer, const std::string& detail)
{
    fail("store_write", peer, detail);
    return {write_outcome::unknown, 0, false};
}

write_result to_write_result(const std::string& peer, const httplib::Result& result)
{
    if (!result) {
        const bool sent = result.error() != httplib::Error::Connection &&
                          result.error() != httplib::Error::ConnectionTimeout;
        fail("store_write", peer, httplib::to_string(result.error()));
        return {write_outcome::unknown, 0, sent};
    }
    const std::optional<std::uint64_t> version = parse_version(*result);
    if (version && (result->status == 200 || result->status == 201)) {
        return {write_outcome::written, *version};
    }
    if (version && result->status == 409) {
        return {write_outcome::conflict, *version};
    }
    fail("store_write", peer, fmt::format("unexpected HTTP status {}", result->status));
    return {};
}

} // namespace

http_store::http_store(ip_address address) : peer(std::move(address)) {}

std::optional<store_value> http_store::read(const std::string& key, time_point deadline)
{
    const milliseconds remaining = time_left(deadline);
    if (!validate_request("store_read", this->peer.to_text(), key, remaining)) {
        return std::nullopt;
    }
    httplib::Client client = make_client(this->peer, remaining);
    return to_value("store_read", this->peer.to_text(),
                    client.Get("/v1/kv/" + key, abort_after(deadline)));
}

write_result http_store::write(const std::string& key, const std::string& bytes,
                               std::uint64_t expected_version, time_point deadline)
{
    const milliseconds remaining = time_left(deadline);
    if (bytes.size() > max_store_value_bytes) {
        return not_sent_result(this->peer.to_text(),
                               fmt::format("{}: the value has {} bytes, the limit is {}", key,
                                           bytes.size(), max_store_value_bytes));
    }
    if (!validate_request("store_write", this->peer.to_text(), key, remaining)) {
        return {write_outcome::unknown, 0, false};
    }
    httplib::Client client = make_client(this->peer, remaining);
    const std::string path = fmt::format("/v1/kv/{}?version={}", key, expected_version);
    return to_write_result(this->peer.to_text(),
                           client.Put(path, bytes, "application/octet-stream"));
}

std::optional<store_value> http_store::watch(const std::string& key, std::uint64_t after,
                                             time_point deadline)
{
    const milliseconds remaining = time_left(deadline);
    if (!validate_request("store_watch", this->peer.to_text(), key, remaining)) {
        return std::nullopt;
    }
    const milliseconds wait = remaining - std::min(remaining / 4, max_watch_margin);
    httplib::Client client = make_client(this->peer, remaining);
    const std::string path =
        fmt::format("/v1/watch/{}?after={}&wait_ms={}", key, after, wait.count());
    return to_value("store_watch", this->peer.to_text(), client.Get(path, abort_after(deadline)));
}

} // namespace dragonflyroad
