#pragma once

#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "node/explain_log.hpp"
#include "node/membership_controller.hpp"

#include <functional>
#include <string>
#include <utility>

namespace dragonflyroad {

/// What the admin port shows and takes.
struct admin_parts {
    membership_controller& members;
    metrics& counters;
    explain_log& explanations;
    /// The body of GET /v1/status, as JSON.
    std::function<std::string()> status;
};

/// The port for the upstreams on the same VM and for operators: announcements, metrics, status and
/// explanations.
class admin_port {
public:
    explicit admin_port(admin_parts given) : parts(std::move(given)) {}

    void handle(http_exchange& exchange);

private:
    void announce(http_exchange& exchange);
    void withdraw(http_exchange& exchange, const std::string& address);
    void explain(http_exchange& exchange, const std::string& id);

    admin_parts parts;
};

} // namespace dragonflyroad
