#include "dispatch/connection_limit.hpp"

#include <algorithm>
#include <map>

namespace dragonflyroad {
namespace {

/// Descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;

/// Parts of the sockets for the callers, the links that other nodes open, and each other port. The
/// rest is left for the links that this node opens, the upstream and the store.
constexpr std::size_t caller_divisor = 2;
constexpr std::size_t link_divisor = 6;
constexpr std::size_t other_port_divisor = 24;
/// Few connections suffice at the other ports: the platform and the upstream use one or two.
constexpr std::size_t max_other_port = 64;
constexpr std::size_t min_connections = 4;

} // namespace

std::optional<std::uint64_t> connection_to_close(const std::vector<connection_state>& open)
{
    std::map<std::string, std::size_t> by_address;
    for (const connection_state& connection : open) {
        ++by_address[connection.remote_ip];
    }
    const connection_state* chosen = nullptr;
    const auto comes_first = [&](const connection_state& left, const connection_state& right) {
        const std::size_t left_count = by_address.at(left.remote_ip);
        const std::size_t right_count = by_address.at(right.remote_ip);
        return left_count != right_count ? left_count > right_count
                                         : left.last_completed_at < right.last_completed_at;
    };
    for (const connection_state& connection : open) {
        if (!connection.has_open_request &&
            (chosen == nullptr || comes_first(connection, *chosen))) {
            chosen = &connection;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional{chosen->id};
}

connection_limits connection_limits::of_process(std::size_t max_descriptors)
{
    const std::size_t sockets =
        std::max(max_descriptors, file_descriptors + min_connections) - file_descriptors;
    connection_limits limits;
    limits.callers = std::max(sockets / caller_divisor, min_connections);
    limits.links = std::max(sockets / link_divisor, min_connections);
    limits.other_port = std::clamp(sockets / other_port_divisor, min_connections, max_other_port);
    return limits;
}

} // namespace dragonflyroad
