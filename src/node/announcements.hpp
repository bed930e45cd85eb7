#pragma once

#include "node/local_decisions.hpp"

#include <optional>
#include <string>

namespace dragonflyroad {

/// Parses the body of POST /v1/upstreams. Returns nothing if it is invalid; see last_failure().
std::optional<announced_upstream> parse_announcement(const std::string& body);

} // namespace dragonflyroad
