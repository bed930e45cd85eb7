#include "mesh/http_codec.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

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
            const std::string rest = length + "\r\n\r\n" + first_bytes;
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
