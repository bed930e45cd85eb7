#include "adapters/http_message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace dragonflyroad {
namespace {

char to_lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

bool is_token_character(char character)
{
    constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           token_symbols.find(character) != token_symbols.npos;
}

bool is_hop_by_hop(std::string_view name)
{
    constexpr std::array names{"Connection",        "Keep-Alive", "Proxy-Authenticate",
                               "Proxy-Connection",  "TE",         "Proxy-Authorization",
                               "Transfer-Encoding", "Trailer",    "Content-Length",
                               "Upgrade",           "Expect"};
    return std::ranges::any_of(
        names, [&](std::string_view known) { return equal_ignoring_case(known, name); });
}

/// Detects dot segments, also percent-encoded ones. Upstreams may resolve them, so that a path
/// could leave the route it was matched to.
bool has_dot_segment(std::string_view path)
{
    const std::string source = lower_case(path);
    std::string lowered;
    for (std::size_t at = 0; at < source.size(); ++at) {
        const bool is_encoded_dot = source.compare(at, 3, "%2e") == 0;
        lowered += is_encoded_dot ? '.' : source[at];
        at += is_encoded_dot ? 2 : 0;
    }
    std::size_t start = 0;
    while (start <= lowered.size()) {
        const std::size_t end = std::min(lowered.find_first_of("/\\", start), lowered.size());
        const std::string_view segment = std::string_view{lowered}.substr(start, end - start);
        if (segment == "." || segment == "..") {
            return true;
        }
        start = end + 1;
    }
    return false;
}

std::optional<std::string> find_target_fault(std::string_view target)
{
    if (target.empty() || target.front() != '/') {
        return "the target is not a path";
    }
    const bool has_invalid_character = std::ranges::any_of(target, [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code <= 0x20U || code >= 0x7fU || character == '#';
    });
    if (has_invalid_character) {
        return "the target holds characters that are not allowed";
    }
    const std::string_view path = target.substr(0, target.find('?'));
    if (lower_case(path).find("%00") != std::string::npos) {
        return "the target holds characters that are not allowed";
    }
    if (has_dot_segment(path)) {
        return "the target holds dot segments";
    }
    return std::nullopt;
}

} // namespace

std::string lower_case(std::string_view text)
{
    std::string lowered{text};
    std::ranges::transform(lowered, lowered.begin(), to_lower);
    return lowered;
}

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name)
{
    for (const http_header& header : headers) {
        if (equal_ignoring_case(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::size_t count_headers(const http_headers& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(headers, [&](const http_header& header) {
        return equal_ignoring_case(header.name, name);
    }));
}

std::vector<std::string_view> split_list(std::string_view value)
{
    std::vector<std::string_view> elements;
    while (!value.empty()) {
        const std::size_t comma = std::min(value.find(','), value.size());
        std::string_view element = value.substr(0, comma);
        element.remove_prefix(std::min(element.find_first_not_of(" \t"), element.size()));
        element = element.substr(0, element.find_last_not_of(" \t") + 1);
        if (!element.empty()) {
            elements.push_back(element);
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return elements;
}

http_headers end_to_end_headers(const http_headers& headers)
{
    std::vector<std::string_view> connection_named;
    for (const http_header& header : headers) {
        if (equal_ignoring_case(header.name, "Connection")) {
            std::ranges::copy(split_list(header.value), std::back_inserter(connection_named));
        }
    }
    http_headers end_to_end;
    for (const http_header& header : headers) {
        const bool is_connection_named =
            std::ranges::any_of(connection_named, [&](std::string_view name) {
                return equal_ignoring_case(name, header.name);
            });
        if (!is_connection_named && !is_hop_by_hop(header.name)) {
            end_to_end.push_back(header);
        }
    }
    return end_to_end;
}

std::optional<std::uint64_t> parse_content_length(std::string_view text)
{
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return length;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_field_value(std::string_view text)
{
    return std::ranges::none_of(text, [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return (code < 0x20U && character != '\t') || code == 0x7fU;
    });
}

std::optional<std::string> find_request_head_error(const request_head& head)
{
    if (!is_token(head.method) || head.method == "CONNECT" || head.method == "TRACE") {
        return "the method is not accepted";
    }
    if (auto fault = find_target_fault(head.target)) {
        return fault;
    }
    for (const http_header& header : head.headers) {
        if (!is_token(header.name)) {
            return "a header name holds characters that are not allowed";
        }
        if (!is_field_value(header.value)) {
            return "a header value holds control characters";
        }
    }
    if (count_headers(head.headers, "Host") != 1) {
        return "Host must be present once";
    }
    return find_framing_fault(head.headers);
}

std::optional<std::string> find_framing_fault(const http_headers& headers)
{
    const std::size_t lengths = count_headers(headers, "Content-Length");
    const std::size_t encodings = count_headers(headers, "Transfer-Encoding");
    if (lengths > 1) {
        return "Content-Length is repeated";
    }
    if (lengths == 1 && encodings > 0) {
        return "Content-Length and Transfer-Encoding are both present";
    }
    if (lengths == 1 && !parse_content_length(*find_header(headers, "Content-Length"))) {
        return "Content-Length is not a number";
    }
    if (encodings > 1 ||
        (encodings == 1 &&
         !equal_ignoring_case(*find_header(headers, "Transfer-Encoding"), "chunked"))) {
        return "Transfer-Encoding is not chunked";
    }
    return std::nullopt;
}

std::string_view status_phrase(int status)
{
    static constexpr std::array<std::pair<int, std::string_view>, 40> phrases{
        {{200, "OK"},
         {201, "Created"},
         {202, "Accepted"},
         {203, "Non-Authoritative Information"},
         {204, "No Content"},
         {205, "Reset Content"},
         {206, "Partial Content"},
         {207, "Multi-Status"},
         {300, "Multiple Choices"},
         {301, "Moved Permanently"},
         {302, "Found"},
         {303, "See Other"},
         {304, "Not Modified"},
         {307, "Temporary Redirect"},
         {308, "Permanent Redirect"},
         {400, "Bad Request"},
         {401, "Unauthorized"},
         {402, "Payment Required"},
         {403, "Forbidden"},
         {404, "Not Found"},
         {405, "Method Not Allowed"},
         {406, "Not Acceptable"},
         {408, "Request Timeout"},
         {409, "Conflict"},
         {410, "Gone"},
         {411, "Length Required"},
         {412, "Precondition Failed"},
         {413, "Content Too Large"},
         {414, "URI Too Long"},
         {415, "Unsupported Media Type"},
         {416, "Range Not Satisfiable"},
         {417, "Expectation Failed"},
         {422, "Unprocessable Content"},
         {429, "Too Many Requests"},
         {431, "Request Header Fields Too Large"},
         {500, "Internal Server Error"},
         {501, "Not Implemented"},
         {502, "Bad Gateway"},
         {503, "Service Unavailable"},
         {504, "Gateway Timeout"}}};
    const auto found = std::ranges::find(phrases, status, &std::pair<int, std::string_view>::first);
    return found == phrases.end() ? "Status" : found->second;
}

} // namespace dragonflyroad
