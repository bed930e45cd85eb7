#pragma once

#include "core/ids.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// The number of nodes that come before `self` when each of `nodes` may write an item of the store
/// and one suffices. The order differs between keys, so that the writes spread over the nodes.
std::size_t writer_rank(std::string_view key, const node_id& self,
                        const std::vector<node_id>& nodes);

} // namespace dragonflyroad
