#pragma once

#include "adapters/toml_file.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dragonflyroad {

enum class port_zero { allowed, refused };

/// Takes typed values out of a TOML document and keeps the first error. Every key that is not asked
/// for is an unknown key, which finish() reports.
class settings_reader {
public:
    explicit settings_reader(const toml_file& document);

    /// A non-empty text without spaces.
    void read_name(const std::string& key, std::string& target);
    void read_address(const std::string& key, port_zero port, std::string& target);
    /// A list of addresses with ports; missing means empty.
    void read_addresses(const std::string& key, std::vector<std::string>& target);
    /// A text of `least_size` characters or more whose value is not repeated in errors.
    void read_secret(const std::string& key, std::size_t least_size, std::string& target);
    /// An optional whole number; `target` keeps its value when the key is missing.
    void read_number(const std::string& key, std::uint32_t least, std::uint32_t most,
                     std::uint32_t& target);

    /// Returns whether every value was valid and every key known; records the failure otherwise.
    bool finish();

private:
    const nlohmann::json* find(const std::string& key);
    void reject(const std::string& key, const std::string& found, const std::string& allowed);

    const toml_file& file;
    std::set<std::string> known;
    std::string error;
};

} // namespace dragonflyroad
