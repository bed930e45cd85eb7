#pragma once

#include "adapters/store.hpp"
#include "config/compaction.hpp"
#include "config/model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// The configuration as read from the store: the head with its version, and its chunks in order.
struct stored_configuration {
    head_record head;
    std::uint64_t head_version = 0;
    std::vector<chunk_record> chunks;

    /// The latest change of an object, possibly its withdrawal. Returns nullptr if there is none:
    /// the object was never changed, or compaction removed its withdrawal.
    const change* latest_change(object_kind kind, const std::string& name) const;
    /// Revision of the object's latest change in the chunks; zero if they contain none.
    revision_number find_compacted_revision(object_kind kind, const std::string& name) const;
    /// Applies chunks and changes to an empty configuration. Returns nothing if a value is corrupt.
    std::optional<configuration> build() const;
};

/// Reads only the head. Sets `version` to the head's version in the store, from which a watch can
/// start.
std::optional<head_record> read_head(store& source, time_point deadline, std::uint64_t& version);

/// Reads the head and its chunks. Starts over if a chunk is replaced after the head was read.
std::optional<stored_configuration> read_configuration(store& source, time_point deadline);

} // namespace dragonflyroad
