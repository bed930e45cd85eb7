#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

/// Polls the node's status until it contains the text; false after 20 s.
bool wait_for_status(const test_node& fleet, const std::string& text)
{
    const time_point limit = boot_clock::now() + std::chrono::seconds{20};
    raw_client admin{fleet.admin()};
    while (boot_clock::now() < limit) {
        if (admin.exchange(request_text("GET", "/v1/status", "")).body.find(text) !=
            std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against nodes on other VMs that send work to a draining upstream.
TEST_CASE("announcements and draining reach the other nodes of the fleet")
{
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    test_node first;
    first.start();
    test_node second;
    second.settings.id = node_id{"node-2"};
    second.settings.seeds = {first.running->peer_address()};
    second.adjust = [](node_builder& builder) { builder.with_incarnation(0xdef); };
    second.start();
    first.announce(upstream.address());
    REQUIRE(wait_for_status(second, upstream.address() + "\",\"service\":\"marks\",\"slots\":8,"
                                                         "\"state\":\"ready\""));
    raw_client client{second.caller()};
    CHECK(client.exchange(request_text("GET", "/marks/1")).body == "hello");
    first.announce(upstream.address(), "draining");
    const time_point announced = boot_clock::now();
    REQUIRE(wait_for_status(second, "\"state\":\"draining\""));
    CHECK(boot_clock::now() - announced < std::chrono::seconds{3});
    CHECK(client.exchange(request_text("GET", "/marks/1")).status == 503);
    CHECK(upstream.requests().size() == 1);
}
