#pragma once

#include <jsoncpp/json/value.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace dragonflyroad {

/// libjsonrpccpp uses jsoncpp, everything else nlohmann::json. Both conversions give nothing for a
/// value nested deeper than 64 levels.
std::optional<Json::Value> to_jsoncpp(const nlohmann::json& value);
std::optional<nlohmann::json> from_jsoncpp(const Json::Value& value);

/// Whether JSON text is nested at most as deeply as the conversions allow. Checked before text is
/// given to jsoncpp, which throws on deep nesting inside functions of libjsonrpccpp that may not
/// throw.
bool is_shallow(std::string_view text);

} // namespace dragonflyroad
