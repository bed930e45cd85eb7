#pragma once

#include "membership/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// Encodes a message as CBOR with integer keys in `max_bytes` at most. When it would be longer, the
/// last (oldest) entries of the longest list are dropped until it fits; `message` is left with what
/// was encoded.
std::string encode_message(peer_message& message, std::size_t max_bytes);

/// Decodes a message. Anything malformed, of a wrong type, of another protocol version, or with
/// more entries than a datagram can hold gives nothing and a reason in last_failure(): the step is
/// "decode", or "version" for another protocol version.
std::optional<peer_message> decode_message(std::string_view bytes);

} // namespace dragonflyroad
