#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyroad {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// A request line and its headers as the client sent them.
struct request_head {
    std::string method;
    /// Path and query, not decoded.
    std::string target;
    http_headers headers;
};

struct response_head {
    int status = 0;
    http_headers headers;
    /// Absent when the length is not known in advance.
    std::optional<std::uint64_t> length;
};

/// Converts ASCII letters to lower case.
std::string lower_case(std::string_view text);

/// Compares header names or tokens, which are case-insensitive.
bool equal_ignoring_case(std::string_view left, std::string_view right);

/// Value of the first header of that name, or nothing.
std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name);

std::size_t count_headers(const http_headers& headers, std::string_view name);

/// Splits a comma-separated header value and trims the white space around its elements.
std::vector<std::string_view> split_list(std::string_view value);

/// Copies the end-to-end headers. Omits hop-by-hop headers, headers named by `Connection`, and the
/// framing (Content-Length, Transfer-Encoding), which each hop sets for itself.
http_headers end_to_end_headers(const http_headers& headers);

/// Parses a Content-Length value. Returns nothing unless it consists of digits and fits 64 bits.
std::optional<std::uint64_t> parse_content_length(std::string_view text);

/// Whether the text is an HTTP token, as method and header names must be.
bool is_token(std::string_view text);

/// Whether a header value is free of control characters (a tab is allowed).
bool is_field_value(std::string_view text);

/// Validates a request head. Returns the error, in a form that may be sent to the client, or
/// nothing if the head is well formed and its framing is unambiguous.
std::optional<std::string> find_request_head_error(const request_head& head);

/// What leaves the end of a request's body unknown, if anything: a repeated or invalid length, a
/// length beside a transfer coding, or a coding other than chunked. Nothing that follows such a
/// head on its connection can be told from the body.
std::optional<std::string> find_framing_fault(const http_headers& headers);

/// The standard reason phrase of a status code, or "Status" for an unlisted one.
std::string_view status_phrase(int status);

} // namespace dragonflyroad
