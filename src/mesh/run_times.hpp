#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <map>
#include <utility>

namespace dragonflyroad {

/// Moving averages of run time and response size for each service and route, over the runs that
/// this node dispatched to any upstream and that ended with a status below 500.
class run_times {
public:
    void record(const service_name& service, const route_name& route,
                std::chrono::milliseconds elapsed, std::size_t response_size);

    /// Mean run time, or `fallback` before the first run.
    std::chrono::milliseconds expected(const service_name& service, const route_name& route,
                                       std::chrono::milliseconds fallback) const;

    /// Mean size of a response body in bytes, 0 before the first one.
    double response_size(const service_name& service, const route_name& route) const;

private:
    struct mean_values {
        double run_milliseconds = 0;
        double response_size = 0;
    };

    std::map<std::pair<service_name, route_name>, mean_values> means;
};

} // namespace dragonflyroad
