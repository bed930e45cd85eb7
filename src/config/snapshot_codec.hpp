#pragma once

#include "config/model.hpp"

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// One part of a configuration sent between nodes, as JSON text of bounded size, so that neither
/// side holds a million objects as text at once.
struct snapshot_part {
    revision_number revision = 0;
    std::size_t index = 0;
    bool last = false;
    std::string text;
};

/// Encodes a configuration in parts of about `part_bytes` bytes and calls `emit` for each.
void encode_snapshot(const configuration& config, std::size_t part_bytes,
                     const std::function<void(const snapshot_part&)>& emit);

/// Assembles a configuration from its parts.
class snapshot_builder {
public:
    /// Adds the next part. Returns false with last_failure() set, and resets the builder, when the
    /// part is invalid, out of order or of a different revision than the first one.
    bool add(const snapshot_part& part);

    /// Returns the configuration and resets the builder, or returns nothing with last_failure() set
    /// when the last part is missing.
    std::optional<configuration> finish();

private:
    bool add_entries(const std::string& text);

    configuration config;
    std::size_t next_index = 0;
    bool complete = false;
};

} // namespace dragonflyroad
