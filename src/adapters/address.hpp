#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// A numeric IP address and a port, written "127.0.0.1:80" or "[::1]:80".
struct ip_address {
    std::string ip;
    std::uint16_t port = 0;

    /// Formats the address, with brackets around an IPv6 address.
    std::string to_text() const;
};

/// Parses a numeric address. Returns nothing for host names, missing ports and trailing text.
std::optional<ip_address> parse_address(std::string_view text);

} // namespace dragonflyroad
