#pragma once

#include "adapters/toml_file.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dragonflyroad {

enum class port_zero { allowed, refused };

/// Reads typed values from a TOML document and stores the first error. A key that was not read by
/// any function is unknown, which finish() reports as an error.
class settings_reader {
public:
    explicit settings_reader(const toml_file& document);

    /// Reads a non-empty text of printable ASCII characters without spaces.
    void read_name(const std::string& key, std::string& target);
    void read_address(const std::string& key, port_zero port, std::string& target);
    /// Reads an optional list of addresses with ports; `target` stays unchanged if the key is
    /// missing.
    void read_addresses(const std::string& key, std::vector<std::string>& target);
    /// Reads a text of at least `min_size` characters whose value never appears in errors.
    void read_secret(const std::string& key, std::size_t min_size, std::string& target);
    /// Reads an optional whole number; `target` stays unchanged if the key is missing.
    void read_number(const std::string& key, std::uint32_t minimum, std::uint32_t maximum,
                     std::uint32_t& target);

    /// Returns whether all values were valid and all keys known. Otherwise sets last_failure().
    bool finish();

private:
    const nlohmann::json* find(const std::string& key);
    void reject(const std::string& key, const std::string& found, const std::string& allowed);

    const toml_file& file;
    std::set<std::string> requested_keys;
    std::string error;
};

} // namespace dragonflyroad
