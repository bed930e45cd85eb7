#pragma once

#include "config/object.hpp"

#include <string>
#include <vector>

namespace dragonflyroad {

/// Objects that `value` refers to and that do not exist, each as "kind name": the profile of a
/// service, the service and organisations of a route, the organisation of a granted key.
std::vector<std::string> missing_references(const configuration& config, const object& value);

/// At most ten objects that refer to the given object, each as "kind name". Withdrawn keys are left
/// out.
std::vector<std::string> referring_objects(const configuration& config, object_kind kind,
                                           const std::string& name);

} // namespace dragonflyroad
