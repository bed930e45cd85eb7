#include "test/support/mesh_fleet.hpp"

#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad;

// Guards against a body that is run as a request of its own: the end of a body behind a transfer
// coding other than chunked is unknown, so nothing that follows on the connection may be decoded.
TEST_CASE("what follows a request whose body has no known end is never run")
{
    const std::string hidden = "POST /submit/hidden HTTP/1.1\r\nHost: books.example\r\n"
                               "X-Attempt-Id: hidden\r\nX-Deadline-Ms: 1500\r\n"
                               "Api-Key: first-key\r\nContent-Length: 0\r\n\r\n";
    mesh_fleet fleet{1};
    for (const std::string coding :
         {"gzip", "identity", "chunked, identity", "chunked, gzip", "gzip, chunked", ", chunked",
          "chunked\r\nTransfer-Encoding: identity", "xchunked", "chunked;q=1"}) {
        for (const std::string method : {"POST", "GET", "DELETE"}) {
            CAPTURE(coding);
            CAPTURE(method);
            const std::string received = fleet.converse(
                0, fmt::format("{} /submit/item HTTP/1.1\r\nHost: books.example\r\n"
                               "X-Attempt-Id: outer\r\nX-Deadline-Ms: 1500\r\n"
                               "Api-Key: first-key\r\nTransfer-Encoding: {}\r\n\r\n{}{}",
                               method, coding, hidden, hidden));
            CHECK(received.starts_with("HTTP/1.1 400"));
            CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
            CHECK(received.find("Connection: close") != std::string::npos);
            CHECK(fleet.total_runs() == 0);
        }
    }
}
