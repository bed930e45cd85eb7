#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Settings of one node. Addresses have the form "ip:port"; port 0 in an address to listen on lets
/// the system choose.
struct node_settings {
    node_id id;
    data_centre centre;
    std::string caller_address;
    std::string peer_address;
    std::string admin_address;
    /// Shared by all nodes of the fleet; signs the messages between them. Never logged.
    std::string secret;
    /// Peer addresses that a starting node asks for peers and for the configuration.
    std::vector<std::string> seeds;
    std::string store_address;
    /// Each kept connection of a client holds a thread of the HTTP server; with 16 threads 64
    /// connections waited 0.9 s for an answer at the median.
    std::uint32_t worker_threads = 256;
    std::uint32_t max_header_bytes = 16U << 10U;
};

/// Settings of the operators' command.
struct operator_settings {
    std::string store_address;
    /// Admin addresses of nodes; any one that answers tells the others.
    std::vector<std::string> admin_addresses;
};

/// Reads a node's settings. The failure names the file, the line, the key, the value found and the
/// allowed values; an unknown key is an error. The value of the secret is never repeated.
std::optional<node_settings> load_node_settings(const std::string& path);

/// Reads the operators' settings, with errors as in load_node_settings.
std::optional<operator_settings> load_operator_settings(const std::string& path);

} // namespace dragonflyroad
