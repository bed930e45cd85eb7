#pragma once

#include "membership/messages.hpp"

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflyroad {

/// Why a datagram was rejected; each reason has a counter.
enum class datagram_rejection : std::uint8_t {
    too_long,
    wrong_signature,
    wrong_version,
    malformed,
    wrong_destination,
    replayed,
    count
};

constexpr auto datagram_rejection_count = static_cast<std::size_t>(datagram_rejection::count);

/// Metric label of the reason.
std::string_view to_code(datagram_rejection refusal);

/// Anti-replay window: accepts each nonce of a sender once. Nonces 128 or more below the highest
/// one are rejected as too old, which keeps the state per sender constant.
class replay_window {
public:
    bool accept(std::uint64_t nonce);

private:
    static constexpr std::size_t width = 128;
    std::uint64_t highest = 0;
    bool used = false;
    std::bitset<width> seen;
};

/// Signs and verifies datagrams with HMAC-SHA256 under the fleet secret. The signature is truncated
/// to 128 bits (RFC 2104 permits half of the digest), which saves 16 of about 200 bytes in each
/// datagram.
class datagram_signer {
public:
    datagram_signer(std::string fleet_secret, incarnation own_incarnation);

    /// Encodes and signs a message; entries that do not fit are removed from `message`.
    std::string sign(peer_message& message) const;

    /// Verifies the signature, decodes the message, and checks its destination and nonce. Returns
    /// nothing for a rejected datagram, which is counted; the reason is in last_failure().
    std::optional<peer_message> verify_and_decode(std::string_view datagram);

    /// Number of datagrams rejected for this reason since the start.
    std::uint64_t rejected_count(datagram_rejection refusal) const;

private:
    std::nullopt_t reject(datagram_rejection refusal, std::string peer, std::string detail);
    replay_window& window_for(incarnation node_incarnation);

    std::string secret;
    incarnation own_incarnation;
    std::unordered_map<incarnation, replay_window> windows;
    std::array<std::uint64_t, datagram_rejection_count> rejections{};
};

} // namespace dragonflyroad
