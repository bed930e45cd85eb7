#include "core/digest.hpp"
#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

// Guards against a withdrawn key that is still accepted on a connection opened before the
// withdrawal, and against aborting a request that was in flight at that time.
TEST_CASE("a withdrawn key is refused on an open connection")
{
    std::promise<void> arrived;
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    fake_upstream upstream{[&](const std::string& request) {
        if (request.find("/marks/held") != std::string::npos) {
            arrived.set_value();
            released.wait();
        }
        return fake_upstream::reply{plain_answer(200, "hello"), false, false};
    }};
    test_node fleet;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    raw_client waiting{fleet.caller()};
    CHECK(client.exchange(request_text("GET", "/marks/1")).status == 200);
    waiting.send(request_text("GET", "/marks/held"));
    arrived.get_future().wait();
    fleet.config.keys.update(sha256_hex("acme-key"),
                             [](key_record& record) { record.state = key_state::withdrawn; });
    fleet.publish();
    const auto refused = client.exchange(request_text("GET", "/marks/1"));
    CHECK(refused.status == 401);
    CHECK(refused.body.find("\"reason\":\"key_withdrawn\"") != std::string::npos);
    CHECK(refused.body.find("\"revision\":2") != std::string::npos);
    release.set_value();
    CHECK(waiting.receive().body == "hello");
}

// Guards against serving a key whose validity is unproved when the profile forbids it.
TEST_CASE("keys are refused or served by profile while their validity is unproved")
{
    class fixed_state : public freshness_monitor {
    public:
        configuration_freshness state(time_point) override { return this->value; }
        configuration_freshness value = configuration_freshness::isolated;
    };
    const auto freshness = std::make_shared<fixed_state>();
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    test_node fleet;
    fleet.decisions.freshness = freshness;
    fleet.start();
    fleet.announce(upstream.address());
    raw_client client{fleet.caller()};
    const auto refused = client.exchange(request_text("GET", "/marks/1"));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"reason\":\"key_unverified\"") != std::string::npos);
    freshness->value = configuration_freshness::fleet_only;
    CHECK(client.exchange(request_text("GET", "/marks/1")).status == 200);
}
