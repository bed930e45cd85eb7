#pragma once

#include "adapters/rpc_authentication.hpp"
#include "core/clock.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Calls methods of other nodes over their peer port. Thread-safe. Reuses a connection if the
/// server responds with `Connection: keep-alive`. Sends each call once and never retries it.
class rpc_client {
public:
    rpc_client(node_id self, std::string fleet_secret);
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;
    rpc_client(rpc_client&&) = delete;
    rpc_client& operator=(rpc_client&&) = delete;
    ~rpc_client();

    /// Calls `method` at "ip:port" and waits for the result until `deadline` at most. On failure,
    /// returns nothing with one of these steps in last_failure(): "rpc_connect" (the call did not
    /// run), "rpc_send" (it may have run), "rpc_refused" (status 401, it did not run), "rpc_error"
    /// (the method returned the error in the detail), "rpc_answer" (the response was invalid or
    /// wrongly signed).
    std::optional<nlohmann::json> call(const std::string& address, const std::string& method,
                                       const nlohmann::json& params, time_point deadline);

private:
    class connection_pool;

    /// Sends one signed POST and returns the body of the response, with its signature verified.
    std::optional<std::string> post(const std::string& address, const std::string& body,
                                    time_point deadline);

    node_id self;
    rpc_signer signer;
    std::unique_ptr<connection_pool> connections;
};

} // namespace dragonflyroad
