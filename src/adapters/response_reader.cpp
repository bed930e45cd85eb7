#include "adapters/response_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_head_bytes = 64U << 10U;

std::string_view trim(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

} // namespace

response_reader::response_reader(std::string method, byte_source bytes)
    : request_method(std::move(method)), source(std::move(bytes))
{
}

std::nullopt_t response_reader::mark_invalid(std::string message)
{
    this->reason = std::move(message);
    return std::nullopt;
}

bool response_reader::fill_buffer()
{
    const long count = this->source(this->buffer.data(), this->buffer.size());
    if (count <= 0) {
        return false;
    }
    this->received = true;
    this->begin = 0;
    this->end = static_cast<std::size_t>(count);
    return true;
}

std::optional<std::string_view> response_reader::read_line()
{
    this->line.clear();
    while (true) {
        if (this->begin == this->end && !this->fill_buffer()) {
            return std::nullopt;
        }
        const char* const start = this->buffer.data() + this->begin;
        const auto* const stop =
            static_cast<const char*>(std::memchr(start, '\n', this->end - this->begin));
        const std::size_t count =
            stop == nullptr ? this->end - this->begin : static_cast<std::size_t>(stop - start) + 1;
        this->line.append(start, count);
        this->begin += count;
        this->head_bytes += count;
        if (this->head_bytes > max_head_bytes) {
            return this->mark_invalid("the head of the answer is too large");
        }
        if (stop == nullptr) {
            continue;
        }
        if (!this->line.ends_with("\r\n")) {
            return this->mark_invalid("a line of the answer does not end in CR LF");
        }
        return std::string_view{this->line}.substr(0, this->line.size() - 2);
    }
}

std::optional<response_head> response_reader::read_head()
{
    while (true) {
        auto head = this->parse_head();
        if (!head) {
            return std::nullopt;
        }
        if (head->status >= 200) {
            return head;
        }
        if (head->status == 101) {
            return this->mark_invalid("the upstream switched protocols");
        }
    }
}

std::optional<response_head> response_reader::parse_head()
{
    const auto status_line = this->read_line();
    if (!status_line) {
        return std::nullopt;
    }
    const bool is_version_1 = status_line->size() >= 12 && status_line->starts_with("HTTP/1.");
    response_head head;
    if (is_version_1) {
        std::from_chars(status_line->data() + 9, status_line->data() + 12, head.status);
    }
    if (!is_version_1 || (*status_line)[8] != ' ' || head.status < 100 || head.status > 599) {
        return this->mark_invalid("the status line is invalid");
    }
    this->is_persistent = (*status_line)[7] == '1';
    while (true) {
        const auto header = this->read_line();
        if (!header) {
            return std::nullopt;
        }
        if (header->empty()) {
            break;
        }
        if (!this->parse_header_line(*header, head)) {
            return std::nullopt;
        }
    }
    if (head.status >= 200 && !this->set_framing(head)) {
        return std::nullopt;
    }
    return head;
}

bool response_reader::parse_header_line(std::string_view text, response_head& head)
{
    const std::size_t colon = text.find(':');
    if (colon == text.npos || !is_token(text.substr(0, colon)) ||
        !is_field_value(text.substr(colon + 1))) {
        this->mark_invalid("a header of the answer is invalid");
        return false;
    }
    head.headers.push_back(
        {std::string{text.substr(0, colon)}, std::string{trim(text.substr(colon + 1))}});
    return true;
}

bool response_reader::set_framing(response_head& head)
{
    const std::size_t lengths = count_headers(head.headers, "Content-Length");
    const std::size_t encodings = count_headers(head.headers, "Transfer-Encoding");
    if (const auto connection = find_header(head.headers, "Connection")) {
        this->is_persistent = this->is_persistent && !equal_ignoring_case(*connection, "close");
    }
    if (lengths + encodings > 1) {
        this->mark_invalid("the length of the answer is ambiguous");
        return false;
    }
    if (lengths == 1) {
        head.length = parse_content_length(*find_header(head.headers, "Content-Length"));
    }
    const bool is_chunked =
        encodings == 1 &&
        equal_ignoring_case(*find_header(head.headers, "Transfer-Encoding"), "chunked");
    if ((lengths == 1 && !head.length) || (encodings == 1 && !is_chunked)) {
        this->mark_invalid("the length of the answer is invalid");
        return false;
    }
    if (this->request_method == "HEAD" || head.status == 204 || head.status == 304) {
        this->body_ended = true;
        return true;
    }
    if (lengths + encodings == 0) {
        this->mark_invalid("the answer has no length");
        return false;
    }
    this->body_framing = is_chunked ? framing::chunked : framing::length;
    this->remaining = head.length.value_or(0);
    this->body_ended = !is_chunked && this->remaining == 0;
    return true;
}

bool response_reader::begin_chunk()
{
    this->head_bytes = 0;
    if (!std::exchange(this->first_chunk, false)) {
        const auto separator = this->read_line();
        if (!separator || !separator->empty()) {
            return false;
        }
    }
    const auto size_line = this->read_line();
    if (!size_line) {
        return false;
    }
    const std::string_view digits = trim(size_line->substr(0, size_line->find(';')));
    const auto [stop, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), this->remaining, 16);
    if (digits.empty() || error != std::errc{} || stop != digits.data() + digits.size()) {
        this->mark_invalid("a chunk size of the answer is invalid");
        return false;
    }
    return this->remaining > 0 || this->read_trailers();
}

bool response_reader::read_trailers()
{
    while (true) {
        const auto trailer = this->read_line();
        if (!trailer) {
            return false;
        }
        if (trailer->empty()) {
            this->body_ended = true;
            return true;
        }
    }
}

long response_reader::read_body(char* into, std::size_t size)
{
    if (this->body_framing == framing::chunked && !this->body_ended && this->remaining == 0 &&
        !this->begin_chunk()) {
        return -1;
    }
    if (this->body_ended) {
        return 0;
    }
    const long count = this->copy_buffered(into, std::min<std::uint64_t>(size, this->remaining));
    if (count <= 0) {
        return -1;
    }
    this->remaining -= static_cast<std::uint64_t>(count);
    this->body_ended = this->body_framing == framing::length && this->remaining == 0;
    return count;
}

long response_reader::copy_buffered(char* into, std::size_t size)
{
    if (this->begin == this->end && !this->fill_buffer()) {
        return -1;
    }
    const std::size_t count = std::min(size, this->end - this->begin);
    std::memcpy(into, this->buffer.data() + this->begin, count);
    this->begin += count;
    return static_cast<long>(count);
}

bool response_reader::is_reusable() const
{
    return this->body_ended && this->is_persistent && this->begin == this->end &&
           this->reason.empty();
}

} // namespace dragonflyroad
