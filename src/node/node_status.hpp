#pragma once

#include "adapters/settings.hpp"
#include "config/model.hpp"
#include "node/simple_gates.hpp"

#include <string>
#include <vector>

namespace dragonflyroad {

/// What `dragonflyroad status` shows of one node, as JSON.
std::string node_status(const node_settings& settings, revision_number revision,
                        const std::vector<announced_upstream>& upstreams);

} // namespace dragonflyroad
