#pragma once

#include "config/change.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// The changes from the end of the previous chunk to the revision `through`, reduced to the latest
/// one of each object, ordered by kind and name. The first chunk omits withdrawn objects.
struct chunk_record {
    revision_number through = 0;
    std::vector<change> entries;
};

/// Size limits of the head and of chunks. A head that exceeds its limits is compacted. The defaults
/// keep heads and chunks below the store's limit of 1 MB per value.
struct compaction_limits {
    /// Number of changes that compaction leaves in the head; fewer if they are large.
    std::size_t kept_changes = 200;
    /// Larger than kept_changes, so that the cost of writing a chunk is spread over several
    /// changes.
    std::size_t max_head_changes = 264;
    std::size_t max_encoded_head_bytes = 700'000;
    std::size_t max_chunk_bytes = 900'000;
};

/// The writes of a compaction: first the chunk, by compare-and-swap against `expected_version`;
/// then the head that lists it, once the chunk's new version is set in `head.chunks.back()`.
struct compaction_plan {
    head_record head;
    chunk_record chunk;
    std::uint64_t chunk_number = 0;
    std::uint64_t expected_version = 0;
};

/// Whether the head exceeds its limits, so that older changes have to move into a chunk.
bool needs_compaction(const head_record& head, const compaction_limits& limits = {});

/// Plans to merge the oldest changes of the head into its last chunk if they fit, or to move them
/// into an additional chunk. `last_chunk` is the decoded last chunk of the head, nullptr when there
/// is none. The chunk is written under a number that is not in use, so that readers of the current
/// head still find its chunks: the number of a free chunk, or else a new one, which is at least
/// `min_new_number`. Returns nothing when the head is within its limits.
std::optional<compaction_plan> plan_compaction(const head_record& head,
                                               const chunk_record* last_chunk,
                                               const compaction_limits& limits = {},
                                               std::uint64_t min_new_number = 1);

} // namespace dragonflyroad
