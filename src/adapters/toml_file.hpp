#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A parsed TOML document as JSON, with the line of each key by its dotted path ("node.id").
struct toml_file {
    std::string path;
    nlohmann::json root;
    std::map<std::string, std::size_t> lines;

    /// The line of a key, or of its table when the key is missing; 1 when that is missing too.
    std::size_t line_of(const std::string& key_path) const;
};

/// Reads and parses a file. The failure names the file and the line of a syntax error.
std::optional<toml_file> read_toml(const std::string& path);

/// Parses text as read_toml does; `path` is used in errors only.
std::optional<toml_file> parse_toml(const std::string& path, const std::string& text);

} // namespace dragonflyroad
