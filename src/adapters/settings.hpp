#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Settings of one node. Addresses have the form "ip:port"; with port 0 in a listening address the
/// system selects the port.
struct node_settings {
    node_id id;
    data_centre centre;
    std::string caller_address;
    std::string peer_address;
    std::string admin_address;
    /// Shared by all nodes of the fleet; signs the messages between them. Never logged.
    std::string secret;
    /// Peer addresses from which a starting node requests peers and the configuration.
    std::vector<std::string> seeds;
    std::string store_address;
    /// Threads of the HTTP server. Each persistent connection of a client occupies one; with 16
    /// threads, 64 connections waited 0.9 s for a response at the median.
    std::uint32_t worker_threads = 256;
    std::uint32_t max_header_bytes = 16U << 10U;
};

/// Settings of the operators' command.
struct operator_settings {
    std::string store_address;
    /// Admin addresses of nodes; any node that responds lists the others.
    std::vector<std::string> admin_addresses;
};

/// Reads a node's settings. The failure names the file, the line, the key, the value found and the
/// allowed values, but never the value of the secret. An unknown key is an error.
std::optional<node_settings> load_node_settings(const std::string& path);

/// Reads the operators' settings, with errors as in load_node_settings.
std::optional<operator_settings> load_operator_settings(const std::string& path);

} // namespace dragonflyroad
