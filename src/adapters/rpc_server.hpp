#pragma once

#include "adapters/rpc_authentication.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflyroad {

/// The HTTP response to one call.
struct rpc_response {
    int status = 200;
    std::string body;
    /// Value of rpc_signature_header; empty if the status is 401.
    std::string signature;
};

/// Server side of JSON-RPC between nodes, without HTTP: the peer port's handler passes body and
/// headers to handle_call(). Thread-safe; methods run on the calling thread, several at a time.
class rpc_server {
public:
    /// Receives the `params` object and the calling node. If it returns nothing, the caller gets a
    /// JSON-RPC error with the step and detail of last_failure().
    using method = std::function<std::optional<nlohmann::json>(const nlohmann::json& params,
                                                               const node_id& caller)>;

    explicit rpc_server(std::string fleet_secret);
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    rpc_server(rpc_server&&) = delete;
    rpc_server& operator=(rpc_server&&) = delete;
    ~rpc_server();

    /// Registers a method. All methods must be registered before the first call.
    void add_method(const std::string& name, method run);

    /// Verifies and runs one call. Rejects and counts calls with missing credentials, a wrong
    /// signature, a time out of tolerance or a repeated nonce, with status 401.
    rpc_response handle_call(const std::string& body, const rpc_credentials& credentials,
                             wall_time now);

    std::uint64_t rejected_count(rpc_rejection refusal) const;

private:
    class dispatcher;

    std::optional<rpc_rejection> verify(const std::string& body, const rpc_credentials& credentials,
                                        wall_time now);

    rpc_signer signer;
    rpc_replay_guard replays;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(rpc_rejection::count)>
        refusals{};
    std::unique_ptr<dispatcher> methods;
};

} // namespace dragonflyroad
