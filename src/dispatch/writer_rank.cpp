#include "dispatch/writer_rank.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace dragonflyroad {

std::size_t writer_rank(std::string_view key, const node_id& self,
                        const std::vector<node_id>& nodes)
{
    const auto weight = [key](const node_id& node) {
        return stable_hash(std::string{key} + node.value);
    };
    const std::uint64_t own = weight(self);
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes, [&](const node_id& node) { return weight(node) > own; }));
}

} // namespace dragonflyroad
