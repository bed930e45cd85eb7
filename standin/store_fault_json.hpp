#pragma once

#include "standin/store_state.hpp"

#include <optional>
#include <string>

namespace dragonflyroad::standin {

/// Parses the body of POST /v1/fault: {"mode": "up" | "down" | "slow" | "lose_replies" | "stale",
/// "delay_ms": number, "count": number}. Returns nothing when the body is invalid; last_failure()
/// then names the invalid field or states that the body is not a JSON object.
std::optional<store_fault> parse_store_fault(const std::string& body);

} // namespace dragonflyroad::standin
