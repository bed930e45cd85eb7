#pragma once

#include "limits/ledger.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

std::string encode(const ledger& book);

/// Reads the store's value. Refuses text that is not JSON, has wrong types, repeats a seat, holds
/// negative units or whose units do not add up to total_units: a node that adopted such a value
/// could admit above the limits.
std::optional<ledger> decode_ledger(std::string_view text);

} // namespace dragonflyroad
