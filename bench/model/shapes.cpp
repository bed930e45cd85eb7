#include "bench/model/shapes.hpp"

#include <algorithm>

namespace dragonflyroad::bench {

using namespace std::chrono_literals;

const std::vector<service_shape>& service_shapes()
{
    static const std::vector<service_shape> shapes{
        {"ledgerworks", "estimates", 6, 7, 1500us},   {"ledgerworks", "allocations", 12, 7, 1500us},
        {"ledgerworks", "budgetbooks", 6, 7, 1500us}, {"siamcite", "stylebook", 9, 3, 1000us},
        {"siamcite", "markdesk", 12, 3, 1000us},      {"siamcite", "branchdesk", 6, 3, 1000us}};
    return shapes;
}

std::vector<service_shape> service_shapes(const std::string& deployment)
{
    std::vector<service_shape> found;
    std::copy_if(service_shapes().begin(), service_shapes().end(), std::back_inserter(found),
                 [&](const auto& shape) { return shape.deployment == deployment; });
    return found;
}

const std::vector<std::string>& deployment_names()
{
    static const std::vector<std::string> names{"ledgerworks", "siamcite"};
    return names;
}

} // namespace dragonflyroad::bench
