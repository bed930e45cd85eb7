#pragma once

#include <jsoncpp/json/value.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace dragonflyroad {

/// Conversions between jsoncpp, which libjsonrpccpp uses, and nlohmann::json, which all other code
/// uses. Both return nothing for a value nested deeper than 64 levels.
std::optional<Json::Value> to_jsoncpp(const nlohmann::json& value);
std::optional<nlohmann::json> from_jsoncpp(const Json::Value& value);

/// Whether JSON text is nested no deeper than the conversions allow. Must be checked before text is
/// passed to jsoncpp: it throws on deep nesting, inside functions of libjsonrpccpp that are
/// noexcept.
bool is_within_depth_limit(std::string_view text);

} // namespace dragonflyroad
