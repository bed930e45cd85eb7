#include "adapters/settings_reader.hpp"

#include "adapters/address.hpp"
#include "core/failure.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace dragonflyroad {
namespace {

constexpr const char* address_form = "\"ip:port\" with a numeric IP address, such as "
                                     "\"127.0.0.1:8080\"";

bool is_valid_address(const nlohmann::json& value, port_zero port)
{
    if (!value.is_string()) {
        return false;
    }
    const std::optional<ip_address> address = parse_address(value.get_ref<const std::string&>());
    return address && (address->port != 0 || port == port_zero::allowed);
}

} // namespace

settings_reader::settings_reader(const toml_file& document) : file(document) {}

const nlohmann::json* settings_reader::find(const std::string& key)
{
    this->requested_keys.insert(key);
    const std::size_t dot = key.find('.');
    const std::string table = key.substr(0, dot);
    this->requested_keys.insert(table);
    const auto section = this->file.root.find(table);
    if (section == this->file.root.end() || !section->is_object()) {
        return nullptr;
    }
    const auto value = section->find(key.substr(dot + 1));
    return value == section->end() ? nullptr : &*value;
}

void settings_reader::reject(const std::string& key, const std::string& found,
                             const std::string& allowed)
{
    if (this->error.empty()) {
        this->error = fmt::format("line {}: {}: found {}; allowed: {}", this->file.line_of(key),
                                  key, found, allowed);
    }
}

void settings_reader::read_name(const std::string& key, std::string& target)
{
    const nlohmann::json* value = this->find(key);
    const bool is_text = value != nullptr && value->is_string();
    const std::string text = is_text ? value->get<std::string>() : std::string{};
    const bool is_printable = std::all_of(text.begin(), text.end(),
                                          [](char symbol) { return symbol > ' ' && symbol < 127; });
    if (text.empty() || !is_printable) {
        this->reject(key, value == nullptr ? "nothing" : value->dump(),
                     "a text of printable ASCII characters without spaces");
        return;
    }
    target = text;
}

void settings_reader::read_address(const std::string& key, port_zero port, std::string& target)
{
    const nlohmann::json* value = this->find(key);
    if (value == nullptr || !is_valid_address(*value, port)) {
        this->reject(key, value == nullptr ? "nothing" : value->dump(), address_form);
        return;
    }
    target = value->get<std::string>();
}

void settings_reader::read_addresses(const std::string& key, std::vector<std::string>& target)
{
    const nlohmann::json* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const bool is_valid =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const auto& element) {
            return is_valid_address(element, port_zero::refused);
        });
    if (!is_valid) {
        this->reject(key, value->dump(), fmt::format("a list of {}", address_form));
        return;
    }
    target = value->get<std::vector<std::string>>();
}

void settings_reader::read_secret(const std::string& key, std::size_t min_size, std::string& target)
{
    const nlohmann::json* value = this->find(key);
    const std::string allowed = fmt::format("a text of {} characters or more", min_size);
    if (value == nullptr || !value->is_string()) {
        this->reject(key, value == nullptr ? "nothing" : value->type_name(), allowed);
        return;
    }
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() < min_size) {
        this->reject(key, fmt::format("a text of {} characters", text.size()), allowed);
        return;
    }
    target = text;
}

void settings_reader::read_number(const std::string& key, std::uint32_t minimum,
                                  std::uint32_t maximum, std::uint32_t& target)
{
    const nlohmann::json* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const bool is_valid = value->is_number_integer() && value->get<std::int64_t>() >= minimum &&
                          value->get<std::int64_t>() <= maximum;
    if (!is_valid) {
        this->reject(key, value->dump(),
                     fmt::format("a whole number from {} to {}", minimum, maximum));
        return;
    }
    target = value->get<std::uint32_t>();
}

bool settings_reader::finish()
{
    for (const auto& [key, line] : this->file.lines) {
        if (!this->requested_keys.contains(key)) {
            const std::string table = key.substr(0, key.find('.') + 1);
            std::set<std::string> allowed;
            std::copy_if(this->requested_keys.begin(), this->requested_keys.end(),
                         std::inserter(allowed, allowed.end()), [&](const std::string& name) {
                             return name.starts_with(table) && name != table;
                         });
            this->reject(
                key, "an unknown key",
                fmt::format("{}",
                            fmt::join(allowed.empty() ? this->requested_keys : allowed, ", ")));
        }
    }
    for (const auto& [key, value] : this->file.root.items()) {
        if (!value.is_object()) {
            this->reject(key, value.dump(), "a table");
        }
    }
    if (!this->error.empty()) {
        fail("settings", this->file.path, this->error);
    }
    return this->error.empty();
}

} // namespace dragonflyroad
