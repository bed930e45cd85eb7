#pragma once

#include "adapters/config_source.hpp"
#include "adapters/store.hpp"
#include "config/change.hpp"

#include <optional>
#include <string>

namespace dragonflyroad {

/// `refused`: the object is invalid or its references do not allow the change. `failed` and all
/// others but `accepted` and `unknown` mean that nothing was changed.
enum class write_verdict { accepted, conflict, refused, failed, unknown };

struct change_result {
    write_verdict verdict = write_verdict::failed;
    /// The revision of the accepted change.
    revision_number revision = 0;
    /// Why the change was not accepted.
    std::string detail;
    /// With `conflict`, the present version of the object; nothing when there is none.
    std::optional<change> found;
};

/// Writes one change into the head by compare-and-swap. `wanted.id` must be unique. Without
/// `if_revision` the change is based on the object's version read first; with it, on that revision.
/// After a conflict with a change of another object it is tried again. When the reply to a write is
/// lost, the head is read and searched for the change's id, and the same change is written again
/// with the same version if it is absent.
change_result submit_change(store& target, change wanted,
                            const std::optional<revision_number>& if_revision, time_point deadline);

} // namespace dragonflyroad
