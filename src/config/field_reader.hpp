#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace dragonflyroad {

enum class field_presence { required, optional };

/// Reads and validates the fields of one JSON object. Keeps the first error, which finish()
/// reports. finish() also fails if the object has fields that were not read.
class field_reader {
public:
    /// `subject_name` names the object in errors, for example `profile "reads"`.
    field_reader(std::string subject_name, const nlohmann::json& fields);

    /// Reads a name: 1 to 128 letters, digits, dots, hyphens and underscores.
    void read_name(const char* field, std::string& target);
    /// Reads a set of names from an array; a missing field leaves `target` as it is.
    void read_names(const char* field, std::set<std::string>& target);
    void read_number(const char* field, field_presence presence, double min, double max,
                     double& target);
    void read_integer(const char* field, std::uint64_t min, std::uint64_t max,
                      std::uint64_t& target);
    /// Reads a whole number of milliseconds; the field's name ends in _ms.
    void read_duration(const char* field, std::chrono::milliseconds min,
                       std::chrono::milliseconds max, std::chrono::milliseconds& target);
    void read_boolean(const char* field, bool& target);
    /// Reads one of the given words and sets `target` to its index.
    void read_enum(const char* field, std::initializer_list<std::string_view> words,
                   std::size_t& target);
    /// Reads a path: at most 1,024 ASCII characters that start with "/", without spaces, control
    /// characters, "?" and "#".
    void read_path(const char* field, std::string& target);
    /// Reads a SHA-256 digest: 64 lower-case hexadecimal digits.
    void read_digest(const char* field, std::string& target);

    /// Returns whether all fields were valid and none is unknown; sets last_failure() otherwise.
    bool finish();

private:
    const nlohmann::json* find(const char* field, field_presence presence);
    void reject(const char* field, const std::string& found, const std::string& allowed);

    std::string subject;
    const nlohmann::json& object;
    std::set<std::string> allowed_fields;
    std::string error;
};

/// Whether a text is a valid object name, as for read_name().
bool is_valid_name(std::string_view text);

} // namespace dragonflyroad
