#include "membership/datagram_signer.hpp"

#include "core/digest.hpp"
#include "core/failure.hpp"
#include "membership/message_codec.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t signature_bytes = 16;
/// Maximum number of replay windows; covers a fleet of 2,100 nodes with an hour of restarts. When
/// it is exceeded, all windows are discarded, and an attacker could replay each recorded message to
/// this incarnation once.
constexpr std::size_t max_replay_windows = 16'384;

std::string compute_signature(std::string_view secret, std::string_view bytes)
{
    return hmac_sha256(secret, bytes).substr(0, signature_bytes);
}

} // namespace

std::string_view to_code(datagram_rejection refusal)
{
    constexpr std::array<std::string_view, datagram_rejection_count> codes{
        "too_long",  "wrong_signature",   "wrong_version",
        "malformed", "wrong_destination", "replayed"};
    return codes.at(static_cast<std::size_t>(refusal));
}

bool replay_window::accept(std::uint64_t nonce)
{
    if (!this->used || nonce > this->highest) {
        const std::uint64_t shift = this->used ? nonce - this->highest : width;
        this->seen = shift >= width ? std::bitset<width>{} : this->seen << shift;
        this->seen.set(0);
        this->highest = nonce;
        this->used = true;
        return true;
    }
    const std::uint64_t behind = this->highest - nonce;
    if (behind >= width || this->seen.test(behind)) {
        return false;
    }
    this->seen.set(behind);
    return true;
}

datagram_signer::datagram_signer(std::string fleet_secret, incarnation node_incarnation)
    : secret(std::move(fleet_secret)), own_incarnation(node_incarnation)
{
}

std::string datagram_signer::sign(peer_message& message) const
{
    std::string bytes = encode_message(message, max_datagram_bytes - signature_bytes);
    bytes += compute_signature(this->secret, bytes);
    return bytes;
}

std::nullopt_t datagram_signer::reject(datagram_rejection refusal, std::string peer,
                                       std::string detail)
{
    ++this->rejections[static_cast<std::size_t>(refusal)];
    return fail("open", std::move(peer), std::move(detail));
}

replay_window& datagram_signer::window_for(incarnation node_incarnation)
{
    if (this->windows.size() >= max_replay_windows && !this->windows.contains(node_incarnation)) {
        this->windows.clear();
    }
    return this->windows[node_incarnation];
}

std::optional<peer_message> datagram_signer::verify_and_decode(std::string_view datagram)
{
    if (datagram.size() > max_datagram_bytes) {
        return this->reject(datagram_rejection::too_long, "",
                            "datagram is longer than " + std::to_string(max_datagram_bytes) +
                                " bytes");
    }
    if (datagram.size() <= signature_bytes) {
        return this->reject(datagram_rejection::wrong_signature, "",
                            "datagram is too short to hold a signature");
    }
    const std::string_view bytes = datagram.substr(0, datagram.size() - signature_bytes);
    const std::string_view signature = datagram.substr(bytes.size());
    if (!equal_in_constant_time(signature, compute_signature(this->secret, bytes))) {
        return this->reject(datagram_rejection::wrong_signature, "",
                            "HMAC signature does not match");
    }
    std::optional<peer_message> message = decode_message(bytes);
    if (!message) {
        const failure& reason = last_failure();
        const bool other_version = reason.step == "version";
        return this->reject(other_version ? datagram_rejection::wrong_version
                                          : datagram_rejection::malformed,
                            reason.peer, reason.detail);
    }
    const bool first_contact =
        message->destination_incarnation == 0 && std::holds_alternative<ping>(message->content);
    if ((message->destination_incarnation != this->own_incarnation && !first_contact) ||
        message->sender_incarnation == this->own_incarnation) {
        return this->reject(datagram_rejection::wrong_destination, message->sender.value,
                            "message is addressed to another incarnation or sent by this node");
    }
    if (!this->window_for(message->sender_incarnation).accept(message->nonce)) {
        return this->reject(datagram_rejection::replayed, message->sender.value,
                            "nonce was already used or is below the replay window");
    }
    return message;
}

std::uint64_t datagram_signer::rejected_count(datagram_rejection refusal) const
{
    return this->rejections[static_cast<std::size_t>(refusal)];
}

} // namespace dragonflyroad
