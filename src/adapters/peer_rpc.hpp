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

/// The HTTP path of JSON-RPC on the peer port.
constexpr const char* peer_rpc_path = "/rpc";
/// Longest body of a call. It has to be read before its signature can be verified.
constexpr std::size_t max_rpc_call_bytes = 4U << 20U;
/// Longest answer. A snapshot of 1 million organisations is 24 MB.
constexpr std::size_t max_rpc_answer_bytes = 64U << 20U;

/// The HTTP headers that authenticate a call.
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

/// Why a call was answered with 401; each has a counter.
enum class rpc_refusal : std::uint8_t { missing, wrong_signature, wrong_time, replayed, count };

std::string_view to_code(rpc_refusal refusal);

/// Signs calls and answers with the fleet secret.
class rpc_signer {
public:
    explicit rpc_signer(std::string fleet_secret) : secret(std::move(fleet_secret)) {}

    rpc_credentials sign_call(const node_id& node, const std::string& nonce, std::string_view body,
                              wall_time now) const;
    /// The signature of an answer covers the nonce of its call.
    std::string sign_answer(const std::string& nonce, std::string_view body) const;
    bool is_answer_valid(const std::string& nonce, std::string_view body,
                         std::string_view signature) const;
    bool is_call_valid(const rpc_credentials& credentials, std::string_view body) const;

private:
    std::string secret;
};

/// Remembers the nonces of recent calls, so that a recorded call cannot be repeated. Calls are
/// accepted while their time differs by 30 s at most from the own wall clock.
class rpc_replay_guard {
public:
    static constexpr std::chrono::seconds tolerance{30};
    static constexpr std::size_t max_nonces = 200'000;

    /// Nothing when the call may run; otherwise why not.
    std::optional<rpc_refusal> check(const rpc_credentials& credentials, wall_time now);

private:
    struct remembered {
        wall_time expires;
        std::string nonce;
    };

    std::mutex mutex;
    std::unordered_set<std::string> nonces;
    std::deque<remembered> by_age;
};

} // namespace dragonflyroad
