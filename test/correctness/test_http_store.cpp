#include "adapters/http_store.hpp"
#include "core/failure.hpp"
#include "standin/store_server.hpp"

#include <doctest/doctest.h>
#include <future>

using namespace dragonflyroad;
using namespace dragonflyroad::standin;
using namespace std::chrono_literals;

namespace {

struct running_store {
    store_server server;
    bool started = server.start("127.0.0.1:0");
    http_store client{server.address()};

    time_point deadline() const { return boot_clock::now() + 20s; }
};

} // namespace

// Guards against a write that overwrites a value which has changed since it was read.
TEST_CASE("a write with an old version is a conflict and reports the version found")
{
    running_store fleet;
    REQUIRE(fleet.started);
    CHECK(fleet.client.read("config/head", fleet.deadline())->version == 0);
    const auto first = fleet.client.write("config/head", "one", 0, fleet.deadline());
    CHECK(first.outcome == write_outcome::written);
    const auto second = fleet.client.write("config/head", "two", 0, fleet.deadline());
    CHECK(second.outcome == write_outcome::conflict);
    CHECK(second.version == first.version);
    CHECK(fleet.client.read("config/head", fleet.deadline())->bytes == "one");
}

// Guards against reporting a write as failed although it took effect, and the reverse.
TEST_CASE("a write whose reply is lost is unknown; a refused connection is known to have no effect")
{
    running_store fleet;
    REQUIRE(fleet.started);
    fleet.server.state().set_fault({store_mode::lose_replies, 0ms, 1});
    const auto lost = fleet.client.write("config/head", "one", 0, fleet.deadline());
    CHECK(lost.outcome == write_outcome::unknown);
    CHECK(lost.sent);
    CHECK(fleet.client.read("config/head", fleet.deadline())->bytes == "one");
    fleet.server.stop();
    const auto refused = fleet.client.write("config/head", "two", 1, fleet.deadline());
    CHECK(refused.outcome == write_outcome::unknown);
    CHECK_FALSE(refused.sent);
    CHECK_FALSE(fleet.client.read("config/head", fleet.deadline()));
}

// Guards against a watch that misses a change or does not end at its deadline.
TEST_CASE("a watch returns a new value, and the unchanged version at its deadline")
{
    running_store fleet;
    REQUIRE(fleet.started);
    auto waiting = std::async(std::launch::async, [&fleet] {
        return fleet.client.watch("config/head", 0, fleet.deadline());
    });
    CHECK(fleet.client.write("config/head", "one", 0, fleet.deadline()).version == 1);
    const auto seen = waiting.get();
    REQUIRE(seen);
    CHECK(seen->bytes == "one");
    const auto unchanged = fleet.client.watch("config/head", 1, boot_clock::now() + 400ms);
    REQUIRE(unchanged);
    CHECK(unchanged->version == 1);
    CHECK(fleet.server.state().calls().at("watch") == 2);
}

// Guards against sending values and keys that the store would refuse or misread.
TEST_CASE("values above 1 MB and malformed keys are refused before they are sent")
{
    running_store fleet;
    REQUIRE(fleet.started);
    const std::string large(max_store_value_bytes + 1, 'x');
    CHECK_FALSE(fleet.client.write("config/head", large, 0, fleet.deadline()).sent);
    CHECK_FALSE(fleet.client.write("config head", "x", 0, fleet.deadline()).sent);
    CHECK_FALSE(fleet.client.write("config/head", "x", 0, boot_clock::now() - 1s).sent);
    CHECK(fleet.server.state().calls().empty());
    const std::string largest(max_store_value_bytes, 'x');
    CHECK(fleet.client.write("config/head", largest, 0, fleet.deadline()).outcome ==
          write_outcome::written);
}

// Guards against a caller that waits for a slow store past its deadline.
TEST_CASE("a call to a slow store ends at its deadline")
{
    running_store fleet;
    REQUIRE(fleet.started);
    fleet.server.state().set_fault({store_mode::slow, 600s});
    const time_point deadline = boot_clock::now() + 100ms;
    CHECK_FALSE(fleet.client.read("config/head", deadline));
    CHECK(boot_clock::now() < deadline + 10s);
}
