#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A TOML document as JSON, with the line number of each key by its dotted path ("node.id").
struct toml_file {
    std::string path;
    nlohmann::json root;
    std::map<std::string, std::size_t> lines;

    /// Line number of a key, or of its table if the key is missing, or 1 if both are missing.
    std::size_t line_of(const std::string& key_path) const;
};

/// Reads and parses a file. On failure, last_failure() has the file and the line of a syntax error.
std::optional<toml_file> read_toml(const std::string& path);

/// Parses text as read_toml() does; `path` appears only in errors.
std::optional<toml_file> parse_toml(const std::string& path, const std::string& text);

} // namespace dragonflyroad
