#include "test/support/mesh_fleet.hpp"
#include "test/support/scripted_upstream.hpp"

#include <map>
#include <string>
#include <utility>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A fleet of one VM whose upstream follows a script.
struct scripted_fleet {
    explicit scripted_fleet(scripted_upstream::script script)
        : upstream(fleet.context, std::move(script))
    {
        this->fleet.vms[0].upstream_address = this->upstream.address();
        this->fleet.check_in(0, "ready", 2);
    }

    mesh_fleet fleet{1};
    scripted_upstream upstream;
};

/// Whether a response is a success with a body that does not begin with "own".
bool is_foreign(const client_exchange_result& result)
{
    return result.response.status == 200 && !result.response.body.starts_with("own");
}

/// Sends a request twice through a scripted upstream that answers the first one well; returns the
/// result of the second.
client_exchange_result second_result(const std::string& method, const std::string& late_bytes,
                                     after_reply then)
{
    std::map<std::size_t, int> requests;
    scripted_fleet scripted{[&](std::size_t connection, const http_request& request) {
        const std::string own = signed_response(200, attempt_id(request), "own");
        const bool is_late = connection == 0 && ++requests[connection] > 1;
        return is_late ? scripted_reply{late_bytes, then} : scripted_reply{own};
    }};
    CHECK(scripted.fleet.exchange(0, method).response.body == "own");
    return scripted.fleet.exchange(0, method);
}

} // namespace

// Guards against a late second response to an earlier request that is passed on to the caller of
// the request that waits on the connection (review case 1: one without a length was).
TEST_CASE("a late response that ends with its connection reaches no other caller")
{
    const std::string late = signed_head(200, "earlier") + "Connection: close\r\n\r\nlate";
    SUBCASE("without a length")
    {
        const auto unsafe = second_result("POST", late, after_reply::close);
        CHECK_FALSE(is_foreign(unsafe));
        CHECK(unsafe.response.status == 502);
        const auto repeated = second_result("GET", late, after_reply::close);
        CHECK(repeated.response.status == 200);
        CHECK(repeated.response.body == "own");
    }
    SUBCASE("with a length, and the connection closes")
    {
        const auto unsafe =
            second_result("POST", signed_response(200, "earlier", "late"), after_reply::close);
        CHECK(unsafe.response.status == 502);
    }
    SUBCASE("without an id")
    {
        const std::string anonymous =
            "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nContent-Length: 4\r\n\r\nlate";
        const auto unsafe = second_result("POST", anonymous, after_reply::close);
        CHECK_FALSE(is_foreign(unsafe));
        CHECK(unsafe.response.status == 502);
    }
}

// Guards against a second copy of a refusal that is taken for the answer to a later sending of the
// same request (review case 2: the request was sent on though the upstream was running it).
TEST_CASE("a refusal that is repeated late does not make a request run twice")
{
    std::map<std::string, int> sendings;
    std::map<std::string, int> runs;
    std::map<std::size_t, std::string> copies;
    scripted_fleet scripted{[&](std::size_t connection, const http_request& request) {
        const std::string id = attempt_id(request);
        if (++sendings[id] == 1) {
            copies[connection] = refusal_response(id);
            return scripted_reply{refusal_response(id)};
        }
        ++runs[id];
        return scripted_reply{std::exchange(copies[connection], "") +
                              signed_response(200, id, "own")};
    }};
    for (int request = 0; request < 3; ++request) {
        CHECK(scripted.fleet.exchange(0, "POST").response.status == 200);
    }
    CHECK(runs.size() == 3);
    for (const auto& run : runs) {
        CAPTURE(run.first);
        CHECK(run.second == 1);
    }
}

// Guards against the same confusion after a failed run of a repeatable request: the copy of its
// failure was taken for the answer to the repeat.
TEST_CASE("a failure that is repeated late is not the answer to the repeat of its request")
{
    std::map<std::string, int> sendings;
    std::map<std::size_t, std::string> copies;
    scripted_fleet scripted{[&](std::size_t connection, const http_request& request) {
        const std::string id = attempt_id(request);
        if (++sendings[id] == 1) {
            copies[connection] = signed_response(500, id, "failed");
            return scripted_reply{signed_response(500, id, "failed")};
        }
        return scripted_reply{std::exchange(copies[connection], "") +
                              signed_response(200, id, "own")};
    }};
    CHECK(scripted.fleet.exchange(0, "GET").response.body == "own");
}

// Guards against a response that breaks off and is passed on as complete. Each prefix of a head and
// of a framed body is tried, followed by an orderly end of the connection.
TEST_CASE("a response that breaks off anywhere is not complete")
{
    const std::vector<std::string> whole{
        signed_response(200, "id", "body"), signed_head(200, "id") + "\r\n",
        signed_head(200, "id") + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
    for (const std::string& response : whole) {
        std::size_t cut = 0;
        boost::asio::io_context loop;
        scripted_upstream upstream{
            loop, [&](std::size_t, const http_request&) {
                return scripted_reply{response.substr(0, cut), after_reply::close};
            }};
        http_client_pool pool{loop, 1U << 20U, 1U << 20U};
        pool.set_address(upstream.address());
        for (cut = 0; cut < response.size(); ++cut) {
            CAPTURE(response.substr(0, cut));
            std::optional<client_exchange_result> result;
            client_exchange_request request;
            request.bytes = "GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id\r\n\r\n";
            request.method = "GET";
            request.deadline = boot_clock::now() + 2s;
            pool.start(std::move(request),
                       [&](client_exchange_result end) { result = std::move(end); });
            while (!result) {
                loop.run_one_for(10ms);
            }
            CHECK(result->end == client_exchange_outcome::broken);
        }
    }
}
