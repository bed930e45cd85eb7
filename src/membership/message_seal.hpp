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

/// Why a datagram was dropped; each has a counter.
enum class peer_refusal : std::uint8_t {
    too_long,
    wrong_signature,
    wrong_version,
    malformed,
    wrong_destination,
    replayed,
    count
};

constexpr auto peer_refusal_count = static_cast<std::size_t>(peer_refusal::count);

/// The label of a refusal's counter.
std::string_view to_code(peer_refusal refusal);

/// Accepts each nonce of a sender once. Nonces more than 128 below the highest one are taken for
/// old, so that the state per sender stays constant.
class replay_window {
public:
    bool accept(std::uint64_t nonce);

private:
    static constexpr std::size_t width = 128;
    std::uint64_t highest = 0;
    bool used = false;
    std::bitset<width> seen;
};

/// Signs and verifies datagrams with HMAC-SHA256 under the fleet secret. The signature is cut to
/// 128 bits (RFC 2104 allows half the digest), which saves 16 bytes of about 200 in each datagram.
class message_seal {
public:
    message_seal(std::string fleet_secret, incarnation own_run);

    /// Encodes and signs; entries that do not fit are removed from `message`.
    std::string seal(peer_message& message) const;

    /// Verifies, decodes and checks destination and nonce. A refusal is counted; the reason is in
    /// last_failure().
    std::optional<peer_message> open(std::string_view datagram);

    /// Datagrams refused since the start, by reason.
    std::uint64_t refused(peer_refusal refusal) const;

private:
    std::nullopt_t refuse(peer_refusal refusal, std::string peer, std::string detail);
    replay_window& window_of(incarnation run);

    std::string secret;
    incarnation own_run;
    std::unordered_map<incarnation, replay_window> windows;
    std::array<std::uint64_t, peer_refusal_count> refusals{};
};

} // namespace dragonflyroad
