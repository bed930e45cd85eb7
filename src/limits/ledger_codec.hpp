#pragma once

#include "limits/ledger.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

std::string encode(const ledger& book);

/// Parses the ledger as the store holds it. Returns std::nullopt, with the reason in
/// last_failure(), if the text is not JSON, has wrong types, repeats a seat, lists more than two
/// witnesses for a seat, or holds units that are negative or do not add up to total_units. A node
/// that adopted such a ledger could admit requests above the limits.
std::optional<ledger> decode_ledger(std::string_view text);

} // namespace dragonflyroad
