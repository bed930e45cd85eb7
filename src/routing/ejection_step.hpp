#pragma once

#include <string_view>

namespace dragonflyroad {

/// How much work an upstream gets from this node.
enum class ejection_step {
    healthy,
    /// Quarter weight: suspected, not yet proved.
    reduced,
    /// No work.
    ejected,
    /// A few real requests, a pause apart, decide whether it returns.
    probation,
};

/// What a failure is a fault of.
enum class fault_scope {
    none,
    /// One connection: others to the same upstream work.
    connection,
    /// One request: it fails wherever it runs.
    request,
    /// One caller or the caller's network.
    caller,
    /// The way between this node and one upstream: other nodes use the upstream without trouble.
    path,
    /// This node or its network: upstreams of several services look bad from here.
    node,
    /// All of the service: there are not enough sound upstreams to compare with.
    service,
    upstream,
};

/// Fixed codes for log lines and metric labels.
constexpr std::string_view to_code(ejection_step step)
{
    switch (step) {
    case ejection_step::healthy:
        return "healthy";
    case ejection_step::reduced:
        return "reduced";
    case ejection_step::ejected:
        return "ejected";
    case ejection_step::probation:
        break;
    }
    return "probation";
}

constexpr std::string_view to_code(fault_scope scope)
{
    switch (scope) {
    case fault_scope::connection:
        return "connection";
    case fault_scope::request:
        return "request";
    case fault_scope::caller:
        return "caller";
    case fault_scope::path:
        return "path";
    case fault_scope::node:
        return "node";
    case fault_scope::service:
        return "service";
    case fault_scope::upstream:
        return "upstream";
    case fault_scope::none:
        break;
    }
    return "none";
}

} // namespace dragonflyroad
