#pragma once

#include <string_view>

namespace dragonflyroad {

/// The steps of an upstream's ejection; they decide how much work this node sends to it.
enum class ejection_step {
    healthy,
    /// Suspected, but the evidence does not suffice for an ejection: picked at a quarter of its
    /// weight.
    reduced,
    /// Gets no requests.
    ejected,
    /// Half-open: a few client requests, at least 100 ms apart, decide whether the upstream returns
    /// to rotation.
    probation,
};

/// What a failure is attributed to.
enum class fault_scope {
    none,
    /// One connection; other connections to the same upstream work.
    connection,
    /// One request, which fails on every upstream.
    request,
    /// One caller or the caller's network.
    caller,
    /// The network path between this node and one upstream; other nodes use the upstream without
    /// errors.
    path,
    /// This node or its network: upstreams of several services look faulty from here.
    node,
    /// The whole service: too few healthy upstreams are left to compare with.
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
