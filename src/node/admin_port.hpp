#pragma once

#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "node/explain_log.hpp"
#include "node/membership_controller.hpp"

#include <functional>
#include <string>
#include <utility>

namespace dragonflyroad {

/// Objects that the admin port reads and updates.
struct admin_dependencies {
    membership_controller& members;
    metrics& counters;
    explain_log& explanations;
    /// The body of GET /v1/status, as JSON.
    std::function<std::string()> status;
};

/// Handles requests on the admin port, from upstreams on the same VM and from operators:
/// announcements, metrics, status and explanations.
class admin_port {
public:
    explicit admin_port(admin_dependencies given) : deps(std::move(given)) {}

    void handle(http_exchange& exchange);

private:
    void announce(http_exchange& exchange);
    void deregister(http_exchange& exchange, const std::string& address);
    void explain(http_exchange& exchange, const std::string& id);

    admin_dependencies deps;
};

} // namespace dragonflyroad
