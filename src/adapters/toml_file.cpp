#define TOML_EXCEPTIONS 0
#include "adapters/toml_file.hpp"

#include "core/failure.hpp"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <toml++/toml.h>

namespace dragonflyroad {
namespace {

std::optional<nlohmann::json> to_json(const toml::node& node, const std::string& key_path,
                                      toml_file& file);

std::optional<nlohmann::json> table_to_json(const toml::table& table, const std::string& key_path,
                                            toml_file& file)
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [key, value] : table) {
        const std::string name{key.str()};
        const std::string path = key_path.empty() ? name : fmt::format("{}.{}", key_path, name);
        file.lines[path] = key.source().begin.line;
        std::optional<nlohmann::json> converted = to_json(value, path, file);
        if (!converted) {
            return std::nullopt;
        }
        object[name] = std::move(*converted);
    }
    return object;
}

std::optional<nlohmann::json> array_to_json(const toml::array& array, const std::string& key_path,
                                            toml_file& file)
{
    nlohmann::json list = nlohmann::json::array();
    for (const toml::node& element : array) {
        std::optional<nlohmann::json> converted = to_json(element, key_path, file);
        if (!converted) {
            return std::nullopt;
        }
        list.push_back(std::move(*converted));
    }
    return list;
}

std::optional<nlohmann::json> to_json(const toml::node& node, const std::string& key_path,
                                      toml_file& file)
{
    if (const auto* table = node.as_table()) {
        return table_to_json(*table, key_path, file);
    }
    if (const auto* array = node.as_array()) {
        return array_to_json(*array, key_path, file);
    }
    if (const auto* text = node.as_string()) {
        return nlohmann::json(text->get());
    }
    if (const auto* integer = node.as_integer()) {
        return nlohmann::json(integer->get());
    }
    if (const auto* number = node.as_floating_point()) {
        return nlohmann::json(number->get());
    }
    if (const auto* flag = node.as_boolean()) {
        return nlohmann::json(flag->get());
    }
    return fail("parse_toml", file.path,
                fmt::format("line {}: {}: dates and times are not allowed", file.line_of(key_path),
                            key_path));
}

} // namespace

std::size_t toml_file::line_of(const std::string& key_path) const
{
    const auto found = this->lines.find(key_path);
    if (found != this->lines.end()) {
        return found->second;
    }
    const std::size_t dot = key_path.rfind('.');
    return dot == std::string::npos ? 1 : this->line_of(key_path.substr(0, dot));
}

std::optional<toml_file> read_toml(const std::string& path)
{
    std::ifstream input{path, std::ios::binary};
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        return fail("read_toml", path, fmt::format("cannot read: {}", std::strerror(errno)));
    }
    return parse_toml(path, text.str());
}

std::optional<toml_file> parse_toml(const std::string& path, const std::string& text)
{
    const toml::parse_result parsed = toml::parse(text, path);
    if (!parsed) {
        return fail("parse_toml", path,
                    fmt::format("line {}: {}", parsed.error().source().begin.line,
                                parsed.error().description()));
    }
    toml_file file{path, {}, {}};
    std::optional<nlohmann::json> root = table_to_json(parsed.table(), "", file);
    if (!root) {
        return std::nullopt;
    }
    file.root = std::move(*root);
    return file;
}

} // namespace dragonflyroad
