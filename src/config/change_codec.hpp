#pragma once

#include "config/change.hpp"
#include "config/compaction.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// The value of `config/head` as JSON text.
std::string encode_head(const head_record& head);

/// Decodes the value of `config/head`; empty text gives the head before the first change. Unknown
/// fields, gaps in the revisions and invalid bodies are errors.
std::optional<head_record> decode_head(const std::string& text);

/// A chunk value as JSON text.
std::string encode_chunk(const chunk_record& chunk);
std::optional<chunk_record> decode_chunk(const std::string& text);

/// Changes as a JSON array, the form that peers exchange.
nlohmann::json encode_changes(const std::vector<change>& changes);
std::optional<std::vector<change>> decode_changes(const nlohmann::json& array);

/// An upper bound of the encoded size of a change, in bytes.
std::size_t max_encoded_size(const change& value);

} // namespace dragonflyroad
