#include "test/support/mesh_fleet.hpp"
#include "test/support/scripted_upstream.hpp"

#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A fleet of one VM whose upstream answers every request with a status of the test's choice.
struct answering_fleet {
    answering_fleet()
    {
        this->fleet.vms[0].upstream_address = this->upstream.address();
        this->fleet.check_in(0, "ready", 2);
    }

    /// The status that the caller of an unsafe request gets for this status line of the upstream.
    int status_for(const std::string& status)
    {
        this->line = status;
        return this->fleet.exchange(0, "POST").response.status;
    }

    std::string line;
    mesh_fleet fleet{1};
    scripted_upstream upstream{fleet.context, [this](std::size_t, const http_request& request) {
                                   return scripted_reply{
                                       "HTTP/1.1 " + this->line +
                                       "\r\nX-Attempt-Id: " + attempt_id(request) +
                                       "\r\nX-Response-Signature: signed\r\n"
                                       "Content-Length: 0\r\n\r\n"};
                               }};
};

} // namespace

// Guards against a response of a failing upstream whose status is no HTTP status, such as 000: it
// was passed on to the caller, or taken for an interim response and waited on until the deadline,
// which is answered with 504.
TEST_CASE("a response without a valid status is neither passed on nor waited on")
{
    answering_fleet answering;
    const std::vector<std::string> lines{
        "000 Status",  "007 Status",  "099 Status",  "101 Status", "600 Status",
        "999 Status",  "0 Status",    "20 Status",   "2 0 Status", "abc Status",
        "2000 Status", "0200 Status", "-200 Status", "",
    };
    for (const std::string& line : lines) {
        CAPTURE(line);
        CHECK(answering.status_for(line) == 502);
    }
}

// Guards against a rejection of valid failures: an upstream's own are passed on as they are.
TEST_CASE("an upstream's own valid status is passed on")
{
    answering_fleet answering;
    for (const int status : {200, 404, 500, 599}) {
        CHECK(answering.status_for(std::to_string(status) + " Status") == status);
    }
}
