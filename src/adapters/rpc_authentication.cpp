#include "adapters/rpc_authentication.hpp"

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

/// Joins the signed parts with line feeds. HTTP header values cannot contain a line feed, so two
/// different calls never give the same text.
std::string signature_input(std::string_view kind, const rpc_credentials& credentials,
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

std::string_view to_code(rpc_rejection refusal)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(rpc_rejection::count)> codes{
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
        to_hex(hmac_sha256(this->secret, signature_input("call", credentials, body)));
    return credentials;
}

bool rpc_signer::is_call_valid(const rpc_credentials& credentials, std::string_view body) const
{
    return equal_in_constant_time(
        credentials.signature,
        to_hex(hmac_sha256(this->secret, signature_input("call", credentials, body))));
}

std::string rpc_signer::sign_response(const std::string& nonce, std::string_view body) const
{
    return to_hex(hmac_sha256(this->secret, signature_input("answer", {{}, {}, nonce, {}}, body)));
}

bool rpc_signer::is_response_valid(const std::string& nonce, std::string_view body,
                                   std::string_view signature) const
{
    return equal_in_constant_time(signature, this->sign_response(nonce, body));
}

std::optional<rpc_rejection> rpc_replay_guard::check(const rpc_credentials& credentials,
                                                     wall_time now)
{
    const std::optional<wall_time> signed_at = parse_time(credentials.time);
    if (!signed_at || *signed_at < now - tolerance || *signed_at > now + tolerance) {
        return rpc_rejection::wrong_time;
    }
    const std::scoped_lock lock{this->mutex};
    while (!this->expiry_queue.empty() && this->expiry_queue.front().expires < now) {
        this->nonces.erase(this->expiry_queue.front().nonce);
        this->expiry_queue.pop_front();
    }
    // A full table rejects calls, because dropping a nonce would let its call be replayed.
    if (this->nonces.size() >= max_nonces || !this->nonces.insert(credentials.nonce).second) {
        return rpc_rejection::replayed;
    }
    this->expiry_queue.push_back({now + 2 * tolerance, credentials.nonce});
    return std::nullopt;
}

} // namespace dragonflyroad
