#pragma once

#include "config/change.hpp"
#include "config/fold.hpp"
#include "config/model.hpp"
#include "core/snapshot_cell.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflyroad {

/// What became of offered changes or of an offered snapshot. `gap`: changes are missing, and the
/// caller fetches a snapshot. `refused`: the input is corrupt; the last good configuration stays.
enum class adoption { adopted, ignored, gap, refused };

/// How often offers were not adopted, since the start.
struct adoption_counts {
    std::uint64_t ignored = 0;
    std::uint64_t gaps = 0;
    std::uint64_t refused = 0;
};

/// This node's configuration. Its revision only rises, whatever arrives in whatever order. One
/// thread writes; any thread may call current().
class config_replica {
public:
    /// Adopts the part of consecutive changes that is newer than the present revision.
    adoption adopt(const std::vector<change>& changes);

    /// Adopts the changes of a head.
    adoption adopt_head(const head_record& head);

    /// Adopts a whole configuration when its revision is higher.
    adoption adopt_snapshot(configuration snapshot);

    revision_number revision() const;
    std::shared_ptr<const configuration> current() const;
    const adoption_counts& counts() const;

    /// The changes after a revision, for a peer that is behind; nothing when they are no longer
    /// kept, and the peer needs a snapshot.
    std::optional<std::vector<change>> changes_since(revision_number after) const;

private:
    adoption count(adoption result);

    snapshot_cell<configuration> published;
    /// The latest changes, consecutive, at most 200, ending with the present revision.
    std::deque<change> log;
    adoption_counts refusals;
};

/// Applies one change to a configuration and sets its revision. Returns false with last_failure()
/// set when the body is corrupt.
bool apply_change(configuration& config, const change& value);

/// Applies the entries of a chunk. Returns false with last_failure() set when one is corrupt.
bool apply_chunk(configuration& config, const chunk_record& chunk);

} // namespace dragonflyroad
