#pragma once

#include "membership/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// Encodes a message as CBOR with integer keys in at most `max_bytes`. While the result is too
/// long, the last (oldest) entry of the longest list is dropped; `message` then holds exactly what
/// was encoded.
std::string encode_message(peer_message& message, std::size_t max_bytes);

/// Decodes a message. Returns nothing for malformed input, wrong types, or another protocol
/// version. The step in last_failure() is "version" for another protocol version and "decode"
/// otherwise.
std::optional<peer_message> decode_message(std::string_view bytes);

} // namespace dragonflyroad
