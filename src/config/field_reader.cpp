#include "config/field_reader.hpp"

#include "core/failure.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_path_length = 1024;
constexpr const char* name_format = "1 to 128 letters, digits, dots, hyphens and underscores";

bool is_valid_path(const std::string& text)
{
    return text.starts_with('/') && text.size() <= max_path_length &&
           std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character < 127 && character != '?' && character != '#';
           });
}

bool is_valid_digest(const std::string& text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '.' || character == '-' ||
                      character == '_';
           });
}

field_reader::field_reader(std::string subject_name, const nlohmann::json& fields)
    : subject(std::move(subject_name)), object(fields)
{
    if (!this->object.is_object()) {
        this->error = "not an object";
    }
}

const nlohmann::json* field_reader::find(const char* field, field_presence presence)
{
    this->allowed_fields.insert(field);
    const auto found = this->object.find(field);
    if (found != this->object.end()) {
        return &*found;
    }
    if (presence == field_presence::required && this->error.empty()) {
        this->error = fmt::format("field {} is missing", field);
    }
    return nullptr;
}

void field_reader::reject(const char* field, const std::string& found, const std::string& allowed)
{
    if (this->error.empty()) {
        this->error = fmt::format("field {}: found {}; allowed: {}", field, found, allowed);
    }
}

void field_reader::read_name(const char* field, std::string& target)
{
    const nlohmann::json* value = this->find(field, field_presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_valid_name(value->get_ref<const std::string&>())) {
        return this->reject(field, value->dump(), name_format);
    }
    target = value->get<std::string>();
}

void field_reader::read_names(const char* field, std::set<std::string>& target)
{
    const nlohmann::json* value = this->find(field, field_presence::optional);
    if (value == nullptr) {
        return;
    }
    const bool is_valid =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const auto& name) {
            return name.is_string() && is_valid_name(name.template get_ref<const std::string&>());
        });
    if (!is_valid) {
        return this->reject(field, value->dump(),
                            fmt::format("an array of names of {}", name_format));
    }
    target = value->get<std::set<std::string>>();
}

void field_reader::read_number(const char* field, field_presence presence, double min, double max,
                               double& target)
{
    const nlohmann::json* value = this->find(field, presence);
    if (value == nullptr) {
        return;
    }
    const bool is_valid =
        value->is_number() && value->get<double>() >= min && value->get<double>() <= max;
    if (!is_valid) {
        return this->reject(field, value->dump(), fmt::format("a number from {} to {}", min, max));
    }
    target = value->get<double>();
}

void field_reader::read_integer(const char* field, std::uint64_t min, std::uint64_t max,
                                std::uint64_t& target)
{
    const nlohmann::json* value = this->find(field, field_presence::optional);
    if (value == nullptr) {
        return;
    }
    // Integers from TOML are signed; non-negative integers from JSON text are unsigned.
    const bool is_valid = value->is_number_integer() &&
                          (value->is_number_unsigned() || value->get<std::int64_t>() >= 0) &&
                          value->get<std::uint64_t>() >= min && value->get<std::uint64_t>() <= max;
    if (!is_valid) {
        return this->reject(field, value->dump(),
                            fmt::format("a whole number from {} to {}", min, max));
    }
    target = value->get<std::uint64_t>();
}

void field_reader::read_duration(const char* field, std::chrono::milliseconds min,
                                 std::chrono::milliseconds max, std::chrono::milliseconds& target)
{
    auto count = static_cast<std::uint64_t>(target.count());
    this->read_integer(field, static_cast<std::uint64_t>(min.count()),
                       static_cast<std::uint64_t>(max.count()), count);
    target = std::chrono::milliseconds{static_cast<std::int64_t>(count)};
}

void field_reader::read_boolean(const char* field, bool& target)
{
    const nlohmann::json* value = this->find(field, field_presence::optional);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        return this->reject(field, value->dump(), "true or false");
    }
    target = value->get<bool>();
}

void field_reader::read_enum(const char* field, std::initializer_list<std::string_view> words,
                             std::size_t& target)
{
    const nlohmann::json* value = this->find(field, field_presence::optional);
    if (value == nullptr) {
        return;
    }
    const auto* const found = value->is_string() ? std::find(words.begin(), words.end(),
                                                             value->get_ref<const std::string&>())
                                                 : words.end();
    if (found == words.end()) {
        return this->reject(field, value->dump(), fmt::format("{}", fmt::join(words, ", ")));
    }
    target = static_cast<std::size_t>(found - words.begin());
}

void field_reader::read_path(const char* field, std::string& target)
{
    const nlohmann::json* value = this->find(field, field_presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_valid_path(value->get_ref<const std::string&>())) {
        return this->reject(field, value->dump(),
                            "a path that starts with / and has no spaces, ? or #");
    }
    target = value->get<std::string>();
}

void field_reader::read_digest(const char* field, std::string& target)
{
    const nlohmann::json* value = this->find(field, field_presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_valid_digest(value->get_ref<const std::string&>())) {
        // The value could be an API key entered in place of its digest, so the error omits it.
        return this->reject(field, "a value that is not a digest",
                            "64 lower-case hexadecimal digits");
    }
    target = value->get<std::string>();
}

bool field_reader::finish()
{
    if (this->object.is_object()) {
        for (const auto& [name, value] : this->object.items()) {
            if (!this->allowed_fields.contains(name)) {
                this->reject(name.c_str(), "an unknown field",
                             fmt::format("{}", fmt::join(this->allowed_fields, ", ")));
            }
        }
    }
    if (!this->error.empty()) {
        fail("decode", this->subject, this->error);
    }
    return this->error.empty();
}

} // namespace dragonflyroad
