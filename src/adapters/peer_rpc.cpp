#include "adapters/peer_rpc.hpp"

#include "core/digest.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace dragonflyroad {
namespace {

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        hex += digits[value >> 4U];
        hex += digits[value & 15U];
    }
    return hex;
}

/// The header values contain no line feed (HTTP), so the parts cannot be shifted into each other.
std::string signed_text(std::string_view kind, const rpc_credentials& credentials,
                        std::string_view body)
{
    std::string text{kind};
    for (const std::string* part : {&credentials.node, &credentials.time, &credentials.nonce}) {
        text += '\n';
        text += *part;
    }
    text += '\n';
    text += body;
    return text;
}

std::optional<wall_time> parse_time(const std::string& text)
{
    std::int64_t milliseconds = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
    constexpr std::int64_t latest = std::int64_t{1} << 42U; // the year 2109
    if (error != std::errc{} || stop != end || milliseconds < 0 || milliseconds > latest) {
        return std::nullopt;
    }
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

} // namespace

std::string_view to_code(rpc_refusal refusal)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(rpc_refusal::count)> codes{
        "missing", "wrong_signature", "wrong_time", "replayed"};
    return codes.at(static_cast<std::size_t>(refusal));
}

rpc_credentials rpc_signer::sign_call(const node_id& node, const std::string& nonce,
                                      std::string_view body, wall_time now) const
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    rpc_credentials credentials{node.value, std::to_string(milliseconds), nonce, {}};
    credentials.signature =
        to_hex(hmac_sha256(this->secret, signed_text("call", credentials, body)));
    return credentials;
}

bool rpc_signer::is_call_valid(const rpc_credentials& credentials, std::string_view body) const
{
    return equal_in_constant_time(
        credentials.signature,
        to_hex(hmac_sha256(this->secret, signed_text("call", credentials, body))));
}

std::string rpc_signer::sign_answer(const std::string& nonce, std::string_view body) const
{
    return to_hex(hmac_sha256(this->secret, signed_text("answer", {{}, {}, nonce, {}}, body)));
}

bool rpc_signer::is_answer_valid(const std::string& nonce, std::string_view body,
                                 std::string_view signature) const
{
    return equal_in_constant_time(signature, this->sign_answer(nonce, body));
}

std::optional<rpc_refusal> rpc_replay_guard::check(const rpc_credentials& credentials,
                                                   wall_time now)
{
    const std::optional<wall_time> signed_at = parse_time(credentials.time);
    if (!signed_at || *signed_at < now - tolerance || *signed_at > now + tolerance) {
        return rpc_refusal::wrong_time;
    }
    const std::scoped_lock lock{this->mutex};
    while (!this->by_age.empty() && this->by_age.front().expires < now) {
        this->nonces.erase(this->by_age.front().nonce);
        this->by_age.pop_front();
    }
    // A full table refuses instead of forgetting nonces that could still be replayed.
    if (this->nonces.size() >= max_nonces || !this->nonces.insert(credentials.nonce).second) {
        return rpc_refusal::replayed;
    }
    this->by_age.push_back({now + 2 * tolerance, credentials.nonce});
    return std::nullopt;
}

} // namespace dragonflyroad
