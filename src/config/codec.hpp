#pragma once

#include "config/object.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// The JSON form of an object, with every field. Durations are whole milliseconds in fields whose
/// names end in _ms.
nlohmann::json encode_object(const object& value);

/// Reads an object of a kind. Unknown fields and values out of range are errors that name the
/// object and the field; fields that may be missing take their defaults.
std::optional<object> decode_object(object_kind kind, const nlohmann::json& fields);

/// As above, for JSON text.
std::optional<object> decode_object_text(object_kind kind, const std::string& text);

} // namespace dragonflyroad
