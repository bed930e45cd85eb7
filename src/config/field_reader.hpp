#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace dragonflyroad {

enum class presence { required, optional };

/// Reads the fields of one JSON object with their allowed ranges and keeps the first error, which
/// names the object and the field. Fields that are not asked for are errors of finish().
class field_reader {
public:
    /// `subject` names the object in errors: "profile reads".
    field_reader(std::string subject_name, const nlohmann::json& fields);

    /// A name: 1 to 128 letters, digits, dots, hyphens and underscores.
    void read_name(const char* field, std::string& target);
    /// A list of names without repetition; missing means empty.
    void read_names(const char* field, std::set<std::string>& target);
    void read_number(const char* field, presence need, double least, double most, double& target);
    void read_integer(const char* field, std::uint64_t least, std::uint64_t most,
                      std::uint64_t& target);
    /// Milliseconds as a whole number; the field's name ends in _ms.
    void read_duration(const char* field, std::chrono::milliseconds least,
                       std::chrono::milliseconds most, std::chrono::milliseconds& target);
    void read_flag(const char* field, bool& target);
    /// One of a few words; `target` becomes its index.
    void read_word(const char* field, std::initializer_list<std::string_view> words,
                   std::size_t& target);
    /// A path that starts with "/" and has no spaces, control characters, "?" or "#".
    void read_path(const char* field, std::string& target);
    /// 64 lower-case hexadecimal digits.
    void read_digest(const char* field, std::string& target);

    /// Returns whether all fields were valid and known; records the failure otherwise.
    bool finish();

private:
    const nlohmann::json* find(const char* field, presence need);
    void reject(const char* field, const std::string& found, const std::string& allowed);

    std::string subject;
    const nlohmann::json& object;
    std::set<std::string> known;
    std::string error;
};

/// Whether a text is a valid object name as read_name() takes it.
bool is_valid_name(std::string_view text);

} // namespace dragonflyroad
