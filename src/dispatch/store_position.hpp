#pragma once

#include <compare>
#include <cstdint>

namespace dragonflyroad {

using store_revision = std::uint64_t;
using store_lease = std::uint64_t;

/// Era of the store: how often it has come back from an older copy of itself. 0 where the store
/// states none.
using store_era = std::uint64_t;

/// A position in the history of the store. Revisions are given out again after the store has come
/// back from an older copy, so they compare only within one era.
struct store_position {
    store_era era = 0;
    store_revision revision = 0;

    auto operator<=>(const store_position&) const = default;
};

} // namespace dragonflyroad
