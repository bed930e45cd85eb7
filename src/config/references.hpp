#pragma once

#include "config/object.hpp"

#include <string>
#include <vector>

namespace dragonflyroad {

/// Objects that `value` names and that do not exist: a service's profile, a route's service and
/// organisations, a granted key's organisation. Each as "kind name".
std::vector<std::string> missing_references(const configuration& config, const object& value);

/// Objects that name the given object, each as "kind name", at most ten. Withdrawn keys do not
/// count.
std::vector<std::string> referring_objects(const configuration& config, object_kind kind,
                                           const std::string& name);

} // namespace dragonflyroad
