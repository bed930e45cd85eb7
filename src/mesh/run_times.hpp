#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <utility>

namespace dragonflyroad {

/// Mean run time of each route's requests at each service, as this node's callers saw it on all
/// upstreams together.
class run_times {
public:
    void note(const service_name& service, const route_name& route,
              std::chrono::milliseconds elapsed);

    /// The mean, or `fallback` before the first run.
    std::chrono::milliseconds expected(const service_name& service, const route_name& route,
                                       std::chrono::milliseconds fallback) const;

private:
    std::map<std::pair<service_name, route_name>, double> means;
};

} // namespace dragonflyroad
