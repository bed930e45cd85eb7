#include "adapters/http_client.hpp"

#include "adapters/upstream_connection.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace dragonflyroad {
namespace {

// Idle limit of connections for unsafe requests. A connection that was idle for longer may be dead
// without having been closed.
constexpr std::chrono::seconds unsafe_request_idle_limit{4};
constexpr std::chrono::seconds idle_limit{30};
constexpr std::size_t max_idle_per_upstream = 64;

std::optional<int> port_of(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const char* const end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    return error == std::errc{} && stop == end ? std::optional{port} : std::nullopt;
}

} // namespace

http_client::http_client() = default;
http_client::~http_client() = default;

exchange_result http_client::exchange(const upstream_id& upstream, const outbound_request& request,
                                      response_receiver& receiver, cancellation& cancel)
{
    auto connection = this->acquire_connection(upstream, request);
    if (connection == nullptr) {
        return {exchange_outcome::connect_failed, false, false, "the address is invalid"};
    }
    cancel.set_interrupt([&connection] { connection->interrupt(); });
    if (cancel.is_cancelled()) {
        connection->interrupt();
    }
    exchange_result result = connection->exchange(request, receiver);
    cancel.set_interrupt({});
    if (connection->is_reusable() && !cancel.is_cancelled()) {
        this->release_connection(upstream, std::move(connection));
    }
    return result;
}

std::unique_ptr<upstream_connection>
http_client::acquire_connection(const upstream_id& upstream, const outbound_request& request)
{
    if (!request.needs_fresh_connection) {
        if (auto connection = this->acquire_idle_connection(upstream, request)) {
            return connection;
        }
    }
    const auto port = port_of(upstream.value);
    if (!port) {
        return nullptr;
    }
    const std::string host = upstream.value.substr(0, upstream.value.rfind(':'));
    return std::make_unique<upstream_connection>(host, *port);
}

std::unique_ptr<upstream_connection>
http_client::acquire_idle_connection(const upstream_id& upstream, const outbound_request& request)
{
    std::vector<idle_connection> unusable;
    const std::scoped_lock lock{this->mutex};
    const auto found = this->idle.find(upstream);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const time_point now = boot_clock::now();
    const duration limit = request.is_unsafe ? unsafe_request_idle_limit : idle_limit;
    while (!found->second.empty()) {
        idle_connection candidate = std::move(found->second.back());
        found->second.pop_back();
        if (now - candidate.since <= limit && candidate.connection->has_no_pending_input()) {
            return std::move(candidate.connection);
        }
        unusable.push_back(std::move(candidate));
    }
    return nullptr;
}

void http_client::release_connection(const upstream_id& upstream,
                                     std::unique_ptr<upstream_connection> connection)
{
    const std::scoped_lock lock{this->mutex};
    auto& connections = this->idle[upstream];
    if (connections.size() < max_idle_per_upstream) {
        connections.push_back({std::move(connection), boot_clock::now()});
    }
}

bool http_client::can_connect(const upstream_id& upstream, std::chrono::milliseconds timeout)
{
    const auto port = port_of(upstream.value);
    if (!port) {
        return false;
    }
    upstream_connection connection{upstream.value.substr(0, upstream.value.rfind(':')), *port};
    return connection.connect(timeout);
}

void http_client::close_idle_connections(const upstream_id& upstream)
{
    const std::scoped_lock lock{this->mutex};
    this->idle.erase(upstream);
}

} // namespace dragonflyroad
