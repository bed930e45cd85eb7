#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// What decides whether a connection gives way to a new one.
struct connection_state {
    std::uint64_t id = 0;
    std::string remote_ip;
    /// A complete request of the connection is being served or its response is being written.
    bool has_open_request = false;
    /// When the connection last completed a request, or was opened.
    time_point last_completed_at{};
};

/// Chooses the connection that is closed so that a new one can be accepted at the limit. Answers
/// clients outside the project's control that open connections without end and send nothing, or
/// never complete a request: those that have completed nothing for longest give way first, within
/// the address that has most connections, so that one address cannot displace all others. Nothing
/// when every connection has an open request: the new connection is refused then.
std::optional<std::uint64_t> connection_to_close(const std::vector<connection_state>& open);

/// Sockets that the ports of a process may hold, from the descriptors that it may use.
struct connection_limits {
    std::size_t callers = 1'500;
    std::size_t links = 900;
    /// Each of the ports for check-ins, readiness and metrics.
    std::size_t other_port = 64;

    static connection_limits of_process(std::size_t max_descriptors);
};

} // namespace dragonflyroad
