#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <utility>

namespace dragonflyroad {

/// Mean run time and answer size of each route's requests at each service, as this node's callers
/// saw them on all upstreams together.
class run_times {
public:
    void note(const service_name& service, const route_name& route,
              std::chrono::milliseconds elapsed, std::size_t answer_bytes);

    /// The mean, or `fallback` before the first run.
    std::chrono::milliseconds expected(const service_name& service, const route_name& route,
                                       std::chrono::milliseconds fallback) const;

    /// Mean size of an answer, 0 before the first.
    double answer_bytes(const service_name& service, const route_name& route) const;

private:
    struct mean_values {
        double run_milliseconds = 0;
        double answer_bytes = 0;
    };

    std::map<std::pair<service_name, route_name>, mean_values> means;
};

} // namespace dragonflyroad
