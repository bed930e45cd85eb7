#pragma once

#include "config/model.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dragonflyroad {

enum class object_kind { profile, service, route, organisation, key };

/// One object of any kind, in the order of object_kind.
using object = std::variant<profile, service, route, organisation, key_record>;

/// The name of a kind in commands, files and stored changes.
std::string_view to_text(object_kind kind);
std::optional<object_kind> parse_kind(std::string_view text);

object_kind kind_of(const object& value);
/// The object's name; the identifier of an organisation, the digest of a key.
const std::string& name_of(const object& value);

/// The object of a configuration, or nothing when there is none.
std::optional<object> find_object(const configuration& config, object_kind kind,
                                  const std::string& name);
void put_object(configuration& config, const object& value);
/// Removes an object; a key stays and becomes withdrawn, so that its use gets its own refusal.
void withdraw_object(configuration& config, object_kind kind, const std::string& name);

} // namespace dragonflyroad
