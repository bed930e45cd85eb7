#pragma once

#include "config/model.hpp"

#include <optional>
#include <string>

namespace dragonflyroad {

/// Reads a whole configuration from one JSON value. Stands in for the change log's codec.
std::optional<configuration> read_configuration(const std::string& bytes);

} // namespace dragonflyroad
