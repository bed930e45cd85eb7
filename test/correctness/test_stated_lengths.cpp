#include "mesh/http_codec.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad;

namespace {

constexpr std::size_t max_header_bytes = 16U << 10U;
constexpr std::size_t max_body_bytes = 1U << 20U;

decode_state decode_request(std::string bytes)
{
    request_decoder decoder{max_header_bytes, max_body_bytes};
    return decoder.decode(bytes);
}

decode_state decode_response(std::string bytes)
{
    response_decoder decoder{"GET", max_body_bytes};
    return decoder.decode(bytes);
}

} // namespace

// Guards against a process that ends because a peer states a length that no memory can hold, and
// against a limit that is passed over: the parser went on with the body when its first bytes came
// together with the head.
TEST_CASE("a stated length beyond the limit is rejected, also when body bytes follow at once")
{
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: ";
    for (const std::string& length : std::vector<std::string>{
             "1048577", "999999999999", "9223372036854775807", "18446744073709551615"}) {
        for (const std::string& first_bytes : std::vector<std::string>{"", "x"}) {
            CAPTURE(length);
            CAPTURE(first_bytes);
            const std::string rest = fmt::format("{}\r\n\r\n{}", length, first_bytes);
            CHECK(decode_request(request + rest) == decode_state::body_too_large);
            CHECK(decode_response(response + rest) == decode_state::body_too_large);
        }
    }
}

// Guards against the same by the length of a chunk.
TEST_CASE("a chunk beyond the limit is rejected, also when its bytes follow at once")
{
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& chunk :
         std::vector<std::string>{"100001\r\n", "100001\r\nx", "ffffffffff\r\nx"}) {
        CAPTURE(chunk);
        CHECK(decode_request(request + chunk) == decode_state::body_too_large);
        CHECK(decode_response(response + chunk) == decode_state::body_too_large);
    }
}

// Guards against messages that are read differently piece by piece than at once.
TEST_CASE("a body within the limit is read whether it comes with its head or after it")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    response_decoder at_once{"GET", max_body_bytes};
    std::string whole = head + "bodyHTTP";
    CHECK(at_once.decode(whole) == decode_state::complete);
    CHECK(at_once.take().body == "body");
    CHECK(whole == "HTTP");
    response_decoder in_pieces{"GET", max_body_bytes};
    std::string buffer;
    for (const char next : head + "bod") {
        buffer += next;
        CHECK(in_pieces.decode(buffer) == decode_state::incomplete);
    }
    buffer += 'y';
    CHECK(in_pieces.decode(buffer) == decode_state::complete);
    CHECK(in_pieces.take().body == "body");
}

// Guards against a head that is decoded only if it arrives at once, or whose parts are lost.
TEST_CASE("a request is read whatever the pieces in which it arrives")
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t cut = 1; cut < head.size() + 4; ++cut) {
        CAPTURE(cut);
        const std::string whole = head + "body";
        request_decoder decoder{max_header_bytes, max_body_bytes};
        std::string buffer = whole.substr(0, cut);
        CHECK(decoder.decode(buffer) == decode_state::incomplete);
        CHECK(decoder.has_begun());
        CHECK(decoder.has_head() == (cut >= head.size()));
        buffer += whole.substr(cut) + "POST";
        REQUIRE(decoder.decode(buffer) == decode_state::complete);
        const http_request request = decoder.take();
        CHECK(request.head.target == "/a");
        CHECK(request.body == "body");
        CHECK(buffer == "POST");
    }
}

// Guards against input without an end that is kept: it is rejected at the limit or at once.
TEST_CASE("a head beyond the limit and bytes that begin no request are rejected")
{
    request_decoder exact{max_header_bytes, max_body_bytes};
    const std::string begin = "GET / HTTP/1.1\r\nX-Long: ";
    std::string head = begin + std::string(max_header_bytes - begin.size() - 4, 'h') + "\r\n\r\n";
    REQUIRE(head.size() == max_header_bytes);
    CHECK(exact.decode(head) == decode_state::complete);
    for (const std::string& endless :
         std::vector<std::string>{begin + std::string(max_header_bytes, 'h'),
                                  begin + std::string(max_header_bytes, 'h') + "\r\n\r\n"}) {
        CHECK(decode_request(endless) == decode_state::header_too_large);
    }
    for (const std::string& odd : std::vector<std::string>{"\r\n", " GET", "\n", "\xff"}) {
        CHECK(decode_request(odd) == decode_state::malformed);
    }
}
