#include "adapters/json_convert.hpp"

#include "core/failure.hpp"

#include <cstddef>
#include <string>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 64;

bool convert(const json& from, Json::Value& into, std::size_t depth)
{
    if (depth > max_depth) {
        return false;
    }
    switch (from.type()) {
    case json::value_t::boolean:
        into = from.get<bool>();
        return true;
    case json::value_t::number_integer:
        into = Json::Int64{from.get<std::int64_t>()};
        return true;
    case json::value_t::number_unsigned:
        into = Json::UInt64{from.get<std::uint64_t>()};
        return true;
    case json::value_t::number_float:
        into = from.get<double>();
        return true;
    case json::value_t::string:
        into = from.get_ref<const std::string&>();
        return true;
    case json::value_t::array:
        into = Json::Value{Json::arrayValue};
        for (const json& item : from) {
            if (!convert(item, into.append(Json::Value{}), depth + 1)) {
                return false;
            }
        }
        return true;
    case json::value_t::object:
        into = Json::Value{Json::objectValue};
        for (const auto& [key, item] : from.items()) {
            if (!convert(item, into[key], depth + 1)) {
                return false;
            }
        }
        return true;
    default:
        into = Json::Value{};
        return true;
    }
}

bool convert(const Json::Value& from, json& into, std::size_t depth)
{
    if (depth > max_depth) {
        return false;
    }
    switch (from.type()) {
    case Json::booleanValue:
        into = from.asBool();
        return true;
    case Json::intValue:
        into = from.asInt64();
        return true;
    case Json::uintValue:
        into = from.asUInt64();
        return true;
    case Json::realValue:
        into = from.asDouble();
        return true;
    case Json::stringValue:
        into = from.asString();
        return true;
    case Json::arrayValue:
        into = json::array();
        for (const Json::Value& item : from) {
            into.push_back(nullptr);
            if (!convert(item, into.back(), depth + 1)) {
                return false;
            }
        }
        return true;
    case Json::objectValue:
        into = json::object();
        for (auto member = from.begin(); member != from.end(); ++member) {
            if (!convert(*member, into[member.name()], depth + 1)) {
                return false;
            }
        }
        return true;
    default:
        into = nullptr;
        return true;
    }
}

} // namespace

std::optional<Json::Value> to_jsoncpp(const json& value)
{
    Json::Value converted;
    if (!convert(value, converted, 0)) {
        return fail("json_convert", "", "nested too deeply");
    }
    return converted;
}

std::optional<json> from_jsoncpp(const Json::Value& value)
{
    json converted;
    if (!convert(value, converted, 0)) {
        return fail("json_convert", "", "nested too deeply");
    }
    return converted;
}

bool is_within_depth_limit(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (in_string) {
            index += character == '\\' ? 1U : 0U;
            in_string = character != '"';
        }
        else if (character == '"') {
            in_string = true;
        }
        else if (character == '[' || character == '{') {
            if (++depth > max_depth) {
                return false;
            }
        }
        else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace dragonflyroad
