#pragma once

#include "adapters/store.hpp"
#include "config/fold.hpp"
#include "config/model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// The configuration as it is in the store: the head with its version, and its chunks in order.
struct stored_configuration {
    head_record head;
    std::uint64_t head_version = 0;
    std::vector<chunk_record> chunks;

    /// The latest change of an object, withdrawals included; nullptr when there was none.
    const change* latest(object_kind kind, const std::string& name) const;
    /// Revision of the object's latest change in the chunks, zero when there is none.
    revision_number folded(object_kind kind, const std::string& name) const;
    /// The configuration that results; nothing when a value is corrupt.
    std::optional<configuration> build() const;
};

/// Reads the head only, for watching it. `version` is set to the head's version in the store.
std::optional<head_record> read_head(store& source, time_point deadline, std::uint64_t& version);

/// Reads head and chunks. When a chunk is replaced in the meantime, reads the head again.
std::optional<stored_configuration> read_configuration(store& source, time_point deadline);

} // namespace dragonflyroad
