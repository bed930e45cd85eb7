#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

// Guards against a stop that aborts requests in flight, and against connections to a stopping node
// that stay open.
TEST_CASE("a stop finishes the requests in flight")
{
    std::promise<void> arrived;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    fake_upstream upstream{[&](const std::string& request) {
        if (request.starts_with("GET")) {
            return fake_upstream::reply{plain_answer(200, "hello"), false, false};
        }
        arrived.set_value();
        released.wait();
        return fake_upstream::reply{plain_answer(200, std::string(300'000, 'a')), false, false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    client.send(request_text("POST", "/marks/1", "Authorization: Bearer acme-key\r\n", "mark"));
    arrived.get_future().wait();
    const auto stopping = std::async(std::launch::async, [&] { fleet.running->stop(); });
    raw_client::answer refused;
    do {
        // Served while the node leaves, refused once it stops; the connection closes either way.
        raw_client late{fleet.caller()};
        refused = late.exchange(request_text("GET", "/marks/2"));
    } while (refused.status == 200);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"reason\":\"node_stopping\"") != std::string::npos);
    CHECK(refused.head.find("Connection: close\r\n") != std::string::npos);
    CHECK(stopping.wait_for(std::chrono::seconds{0}) == std::future_status::timeout);
    release.set_value();
    const auto answer = client.receive();
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == 300'000);
    stopping.wait();
}
