#pragma once

#include "config/change.hpp"
#include "config/fold.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// The value of `config/head` as JSON text.
std::string encode_head(const head_record& head);

/// Reads `config/head`. Empty text is the head before the first change. Unknown fields, gaps in the
/// revisions and bodies that do not decode are errors.
std::optional<head_record> decode_head(const std::string& text);

/// A chunk value as JSON text.
std::string encode_chunk(const chunk_record& chunk);
std::optional<chunk_record> decode_chunk(const std::string& text);

/// Changes as a JSON array, as peers send them to each other.
nlohmann::json encode_changes(const std::vector<change>& changes);
std::optional<std::vector<change>> decode_changes(const nlohmann::json& array);

/// The approximate size of a change in its encoded form, in bytes; never less than the real one.
std::size_t encoded_size(const change& value);

} // namespace dragonflyroad
