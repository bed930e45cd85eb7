#pragma once

#include "config/change.hpp"
#include "config/compaction.hpp"
#include "config/model.hpp"
#include "core/snapshot_cell.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// Result of adopting changes or a snapshot. `ignored`: they are not newer. `gap`: changes are
/// missing, and the caller has to fetch a snapshot. `refused`: the input is corrupt, and the last
/// valid configuration stays in force.
enum class adoption_result { adopted, ignored, gap, refused };

/// Number of calls since the start that adopted nothing, by result.
struct adoption_counts {
    std::uint64_t ignored = 0;
    std::uint64_t gaps = 0;
    std::uint64_t refused = 0;
};

/// This node's replica of the configuration. Its revision never decreases, in whatever order
/// changes arrive. One thread writes; any thread may call current().
class config_replica {
public:
    /// Adopts those of the changes that are newer than the current revision. The revisions of all
    /// given changes must be consecutive.
    adoption_result adopt_changes(const std::vector<change>& changes);

    /// Adopts the newer changes of a head.
    adoption_result adopt_head(const head_record& head);

    /// Replaces the configuration if the snapshot's revision is higher.
    adoption_result adopt_snapshot(configuration snapshot);

    revision_number revision() const;
    std::shared_ptr<const configuration> current() const;
    const adoption_counts& counts() const;

    /// The changes after a revision, for a peer that is behind. Returns std::nullopt when some of
    /// them are no longer kept; the peer then needs a snapshot.
    std::optional<std::vector<change>> changes_since(revision_number after) const;

private:
    /// Counts the result unless it is `adopted`, and returns it.
    adoption_result count_result(adoption_result result);

    snapshot_cell<configuration> published;
    /// The latest changes, at most 200, with consecutive revisions up to the current one.
    std::deque<change> recent_changes;
    adoption_counts not_adopted;
};

/// Applies one change to a configuration and sets its revision. Returns false with last_failure()
/// set when its body is invalid.
bool apply_change(configuration& config, const change& value);

/// Applies the entries of a chunk. Returns false with last_failure() set when one is invalid.
bool apply_chunk(configuration& config, const chunk_record& chunk);

} // namespace dragonflyroad
