#pragma once

#include "adapters/store.hpp"
#include "adapters/stored_configuration.hpp"
#include "config/change.hpp"

#include <optional>
#include <string>

namespace dragonflyroad {

/// `refused` means that the object is invalid or that references between objects do not allow the
/// change. Nothing was changed unless the verdict is `accepted` or `unknown`.
enum class write_verdict { accepted, conflict, refused, failed, unknown };

struct change_result {
    write_verdict verdict = write_verdict::failed;
    /// The revision of the accepted change.
    revision_number revision = 0;
    /// Why the change was not accepted.
    std::string detail;
    /// With `conflict`, the latest change of the object; nothing if there is none.
    std::optional<change> found;
};

/// Writes one change into the head by compare-and-swap. `requested.id` must be unique. The change
/// is based on `if_revision`, or if that is absent, on the object's revision at the first read. A
/// conflict with a change of another object is retried. If the reply to a write is lost, head and
/// chunks are read again and searched for the change's id. If it is absent and the head has not
/// changed, the same write is repeated with the same expected version; if the head has changed, the
/// change is attempted anew, unless a compaction hides whether the lost write took effect.
change_result submit_change(store& target, change requested,
                            const std::optional<revision_number>& if_revision, time_point deadline);

} // namespace dragonflyroad
