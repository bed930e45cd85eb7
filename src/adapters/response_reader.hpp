#pragma once

#include "adapters/http_message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflyroad {

/// Parses one response of an upstream from a byte stream: the head, then the body by its framing.
/// Rejects a response whose end cannot be distinguished from a broken connection or whose length is
/// ambiguous. Skips interim responses (1xx).
class response_reader {
public:
    /// Reads up to `size` bytes. Returns the number of bytes read, 0 at the end of the stream, or a
    /// negative value on error or timeout.
    using byte_source = std::function<long(char* into, std::size_t size)>;

    response_reader(std::string method, byte_source bytes);

    /// Reads the head. Returns nothing if the stream ended or the head is invalid; see
    /// invalid_reason().
    std::optional<response_head> read_head();

    /// Reads up to `size` decoded body bytes. Returns the number of bytes read, 0 at the end of the
    /// response as its framing defines it, or a negative value if the stream broke before that or
    /// the framing is invalid.
    long read_body(char* into, std::size_t size);

    /// Why the response was rejected; empty if the stream merely ended or failed.
    const std::string& invalid_reason() const { return this->reason; }

    /// Whether any byte of a response has arrived.
    bool has_received_bytes() const { return this->received; }

    /// Whether the connection can carry another exchange: the response ended as framed, the
    /// upstream keeps the connection open, and no bytes beyond the response have arrived.
    bool is_reusable() const;

private:
    enum class framing { none, length, chunked };

    bool fill_buffer();
    std::optional<std::string_view> read_line();
    std::optional<response_head> parse_head();
    bool parse_header_line(std::string_view line, response_head& head);
    bool set_framing(response_head& head);
    bool begin_chunk();
    bool read_trailers();
    long copy_buffered(char* into, std::size_t size);
    std::nullopt_t mark_invalid(std::string message);

    std::string request_method;
    byte_source source;
    std::array<char, 16384> buffer{};
    std::size_t begin = 0;
    std::size_t end = 0;
    std::string line;
    std::size_t head_bytes = 0;
    framing body_framing = framing::none;
    std::uint64_t remaining = 0;
    bool first_chunk = true;
    bool body_ended = false;
    bool is_persistent = true;
    bool received = false;
    std::string reason;
};

} // namespace dragonflyroad
