#pragma once

#include "config/model.hpp"

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// One part of a configuration in transit between nodes: JSON text of bounded size, so that neither
/// side holds a million objects in their text form at once.
struct snapshot_part {
    revision_number revision = 0;
    std::size_t index = 0;
    /// Whether this is the last part.
    bool last = false;
    std::string text;
};

/// Writes a configuration in parts of about `part_bytes`, one call of `emit` for each.
void encode_snapshot(const configuration& config, std::size_t part_bytes,
                     const std::function<void(const snapshot_part&)>& emit);

/// Puts a configuration together from its parts.
class snapshot_builder {
public:
    /// Adds the next part. Returns false with last_failure() set when it is corrupt, out of order
    /// or of another revision than the first; the builder then starts over.
    bool add(const snapshot_part& part);

    /// The configuration once the last part has been added.
    std::optional<configuration> finish();

private:
    bool add_entries(const std::string& text);

    configuration config;
    std::size_t next_index = 0;
    bool complete = false;
};

} // namespace dragonflyroad
