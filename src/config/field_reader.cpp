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

constexpr std::size_t longest_name = 128;
constexpr std::size_t longest_path = 1024;
constexpr const char* name_form = "1 to 128 letters, digits, dots, hyphens and underscores";

bool is_path(const std::string& text)
{
    return text.starts_with('/') && text.size() <= longest_path &&
           std::all_of(text.begin(), text.end(), [](char symbol) {
               return symbol > ' ' && symbol < 127 && symbol != '?' && symbol != '#';
           });
}

bool is_digest(const std::string& text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(), [](unsigned char symbol) {
               return std::isalnum(symbol) != 0 || symbol == '.' || symbol == '-' || symbol == '_';
           });
}

field_reader::field_reader(std::string subject_name, const nlohmann::json& fields)
    : subject(std::move(subject_name)), object(fields)
{
    if (!this->object.is_object()) {
        this->error = "not an object with fields";
    }
}

const nlohmann::json* field_reader::find(const char* field, presence need)
{
    this->known.insert(field);
    const auto found = this->object.find(field);
    if (found != this->object.end()) {
        return &*found;
    }
    if (need == presence::required && this->error.empty()) {
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
    const nlohmann::json* value = this->find(field, presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_valid_name(value->get_ref<const std::string&>())) {
        return this->reject(field, value->dump(), name_form);
    }
    target = value->get<std::string>();
}

void field_reader::read_names(const char* field, std::set<std::string>& target)
{
    const nlohmann::json* value = this->find(field, presence::optional);
    if (value == nullptr) {
        return;
    }
    const bool is_valid =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const auto& name) {
            return name.is_string() && is_valid_name(name.template get_ref<const std::string&>());
        });
    if (!is_valid) {
        return this->reject(field, value->dump(), fmt::format("a list of texts of {}", name_form));
    }
    target = value->get<std::set<std::string>>();
}

void field_reader::read_number(const char* field, presence need, double least, double most,
                               double& target)
{
    const nlohmann::json* value = this->find(field, need);
    if (value == nullptr) {
        return;
    }
    const bool is_valid =
        value->is_number() && value->get<double>() >= least && value->get<double>() <= most;
    if (!is_valid) {
        return this->reject(field, value->dump(),
                            fmt::format("a number from {} to {}", least, most));
    }
    target = value->get<double>();
}

void field_reader::read_integer(const char* field, std::uint64_t least, std::uint64_t most,
                                std::uint64_t& target)
{
    const nlohmann::json* value = this->find(field, presence::optional);
    if (value == nullptr) {
        return;
    }
    // Values from TOML are signed, parsed JSON numbers are unsigned.
    const bool is_valid = value->is_number_integer() &&
                          (value->is_number_unsigned() || value->get<std::int64_t>() >= 0) &&
                          value->get<std::uint64_t>() >= least &&
                          value->get<std::uint64_t>() <= most;
    if (!is_valid) {
        return this->reject(field, value->dump(),
                            fmt::format("a whole number from {} to {}", least, most));
    }
    target = value->get<std::uint64_t>();
}

void field_reader::read_duration(const char* field, std::chrono::milliseconds least,
                                 std::chrono::milliseconds most, std::chrono::milliseconds& target)
{
    auto count = static_cast<std::uint64_t>(target.count());
    this->read_integer(field, static_cast<std::uint64_t>(least.count()),
                       static_cast<std::uint64_t>(most.count()), count);
    target = std::chrono::milliseconds{static_cast<std::int64_t>(count)};
}

void field_reader::read_flag(const char* field, bool& target)
{
    const nlohmann::json* value = this->find(field, presence::optional);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        return this->reject(field, value->dump(), "true or false");
    }
    target = value->get<bool>();
}

void field_reader::read_word(const char* field, std::initializer_list<std::string_view> words,
                             std::size_t& target)
{
    const nlohmann::json* value = this->find(field, presence::optional);
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
    const nlohmann::json* value = this->find(field, presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_path(value->get_ref<const std::string&>())) {
        return this->reject(field, value->dump(),
                            "a path that starts with / and has no spaces, ? or #");
    }
    target = value->get<std::string>();
}

void field_reader::read_digest(const char* field, std::string& target)
{
    const nlohmann::json* value = this->find(field, presence::required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || !is_digest(value->get_ref<const std::string&>())) {
        // The value could be a key that was entered instead of its digest: it is not repeated.
        return this->reject(field, "another value", "64 lower-case hexadecimal digits");
    }
    target = value->get<std::string>();
}

bool field_reader::finish()
{
    if (this->object.is_object()) {
        for (const auto& [name, value] : this->object.items()) {
            if (!this->known.contains(name)) {
                this->reject(name.c_str(), "an unknown field",
                             fmt::format("{}", fmt::join(this->known, ", ")));
            }
        }
    }
    if (!this->error.empty()) {
        fail("decode", this->subject, this->error);
    }
    return this->error.empty();
}

} // namespace dragonflyroad
