#pragma once

#include "config/object.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Encodes an object as JSON with all of its fields. Durations are whole milliseconds, in fields
/// whose names end in _ms.
nlohmann::json encode_object(const object& value);

/// Decodes an object of the given kind. Unknown fields and values out of range are errors that name
/// the kind, the object (except for keys) and the field. Missing optional fields take their
/// defaults.
std::optional<object> decode_object(object_kind kind, const nlohmann::json& fields);

/// As decode_object(), from JSON text.
std::optional<object> decode_object_text(object_kind kind, const std::string& text);

} // namespace dragonflyroad
