#pragma once

#include "core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace dragonflyroad {

using wall_time = std::chrono::system_clock::time_point;

/// HTTP path of JSON-RPC on the peer port.
constexpr const char* peer_rpc_path = "/rpc";
/// Maximum size of a call's body, which has to be read before its signature can be verified.
constexpr std::size_t max_rpc_call_bytes = 4U << 20U;
/// Maximum size of a response. A whole snapshot of 1 million organisations has 24 MB;
/// config_replicator sends it in parts.
constexpr std::size_t max_rpc_response_bytes = 64U << 20U;

/// HTTP headers that authenticate a call.
constexpr const char* rpc_node_header = "X-Peer-Node";
constexpr const char* rpc_time_header = "X-Peer-Time";
constexpr const char* rpc_nonce_header = "X-Peer-Nonce";
constexpr const char* rpc_signature_header = "X-Peer-Signature";

/// Values of those headers.
struct rpc_credentials {
    std::string node;
    /// Milliseconds since 1970.
    std::string time;
    std::string nonce;
    /// Hexadecimal HMAC-SHA256 of node, time, nonce and body.
    std::string signature;
};

/// Why a call was rejected with status 401; each reason has a counter.
enum class rpc_rejection : std::uint8_t { missing, wrong_signature, wrong_time, replayed, count };

std::string_view to_code(rpc_rejection refusal);

/// Signs and verifies calls and responses with the fleet secret.
class rpc_signer {
public:
    explicit rpc_signer(std::string fleet_secret) : secret(std::move(fleet_secret)) {}

    rpc_credentials sign_call(const node_id& node, const std::string& nonce, std::string_view body,
                              wall_time now) const;
    /// The signature of a response covers the nonce of its call.
    std::string sign_response(const std::string& nonce, std::string_view body) const;
    bool is_response_valid(const std::string& nonce, std::string_view body,
                           std::string_view signature) const;
    bool is_call_valid(const rpc_credentials& credentials, std::string_view body) const;

private:
    std::string secret;
};

/// Stores the nonces of recent calls, so that a recorded call cannot be replayed. Accepts only
/// calls whose time differs by at most 30 s from the local wall clock.
class rpc_replay_guard {
public:
    static constexpr std::chrono::seconds tolerance{30};
    static constexpr std::size_t max_nonces = 200'000;

    /// Returns nothing if the call may run, otherwise the reason for its rejection.
    std::optional<rpc_rejection> check(const rpc_credentials& credentials, wall_time now);

private:
    struct nonce_entry {
        wall_time expires;
        std::string nonce;
    };

    std::mutex mutex;
    std::unordered_set<std::string> nonces;
    std::deque<nonce_entry> expiry_queue;
};

} // namespace dragonflyroad
