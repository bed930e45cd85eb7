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

/// Parses one answer of an upstream from a byte stream: head, then body by its framing. An answer
/// whose end cannot be told from a broken connection is refused, and so is one whose length is
/// ambiguous. Interim answers (1xx) are passed over.
class answer_reader {
public:
    /// Reads some bytes: their number, 0 at the end of the stream, negative on error or timeout.
    using byte_source = std::function<long(char* into, std::size_t size)>;

    answer_reader(std::string method, byte_source bytes);

    /// Reads the head. Nothing when the stream ended or the head is invalid; see fault().
    std::optional<response_head> read_head();

    /// Reads decoded body bytes: their number, 0 at the proven end of the answer, negative when the
    /// stream broke before that or the framing is invalid.
    long read_body(char* into, std::size_t size);

    /// Why an answer was judged invalid; empty when the stream merely ended or failed.
    const std::string& fault() const { return this->invalid; }

    /// Whether any byte of an answer has arrived.
    bool has_bytes() const { return this->received; }

    /// Whether the connection can carry another exchange: the answer ended as framed, the upstream
    /// keeps the connection, and no bytes beyond the answer have arrived.
    bool is_reusable() const;

private:
    enum class framing { none, length, chunked };

    bool fill();
    std::optional<std::string_view> read_line();
    std::optional<response_head> parse_head();
    bool parse_header_line(std::string_view line, response_head& head);
    bool set_framing(response_head& head);
    bool next_chunk();
    bool read_trailers();
    long take(char* into, std::size_t size);
    std::nullopt_t reject(std::string why);

    std::string request_method;
    byte_source source;
    std::array<char, 16384> buffer{};
    std::size_t begin = 0;
    std::size_t end = 0;
    std::string line;
    std::size_t head_bytes = 0;
    framing kind = framing::none;
    std::uint64_t remaining = 0;
    bool first_chunk = true;
    bool body_ended = false;
    bool keeps_connection = true;
    bool received = false;
    std::string invalid;
};

} // namespace dragonflyroad
