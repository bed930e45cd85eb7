#pragma once

#include "config/change.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// The latest change of each of a number of objects, ordered by kind and name, up to a revision.
struct chunk_record {
    revision_number through = 0;
    std::vector<change> entries;
};

/// Bounds of the head and of chunks. The defaults keep both below the store's 1 MB.
struct fold_limits {
    std::size_t least_changes = 200;
    /// Folding more than one change at a time spreads the cost of writing a chunk.
    std::size_t most_changes = 264;
    std::size_t most_head_bytes = 700'000;
    std::size_t most_chunk_bytes = 900'000;
};

/// What to write: first the chunk, if its value still has the expected version, then the head that
/// lists it, with the version that the chunk has got in `head.chunks.back()`.
struct fold_plan {
    head_record head;
    chunk_record chunk;
    std::uint64_t chunk_number = 0;
    std::uint64_t expected_version = 0;
};

/// Whether the head has grown so far that older changes are to be folded into a chunk.
bool needs_fold(const head_record& head, const fold_limits& limits = {});

/// Moves the oldest changes of the head into the last chunk when they fit, into a new chunk
/// otherwise. `last_chunk` is the value of the head's last chunk, nullptr when there is none. The
/// chunk is written under a number that is not in use, so readers of the present head are not
/// disturbed; new numbers start at `least_new_number`. Returns nothing when the head does not need
/// it.
std::optional<fold_plan> plan_fold(const head_record& head, const chunk_record* last_chunk,
                                   const fold_limits& limits = {},
                                   std::uint64_t least_new_number = 1);

} // namespace dragonflyroad
