#pragma once

#include "config/model.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dragonflyroad {

enum class object_kind { profile, service, route, organisation, key };

/// An object of any kind; the alternatives are in the order of object_kind.
using object = std::variant<profile, service, route, organisation, key_record>;

/// The name of a kind in commands, files and stored changes.
std::string_view to_text(object_kind kind);
std::optional<object_kind> parse_kind(std::string_view text);

object_kind kind_of(const object& value);
/// The object's name: for an organisation its identifier, for a key its digest.
const std::string& name_of(const object& value);

/// Finds an object in a configuration; empty when there is none.
std::optional<object> find_object(const configuration& config, object_kind kind,
                                  const std::string& name);
/// Inserts an object or replaces the one of the same name.
void put_object(configuration& config, const object& value);
/// Removes an object. A key is marked withdrawn instead, so that its use is refused with a reason
/// of its own.
void withdraw_object(configuration& config, object_kind kind, const std::string& name);

} // namespace dragonflyroad
