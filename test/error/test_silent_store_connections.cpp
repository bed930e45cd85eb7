#include "platform/kv_store.hpp"
#include "test/support/scripted_upstream.hpp"

#include <cstddef>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A store whose open connections can go silent while new ones work.
struct silencing_store {
    boost::asio::io_context loop;
    std::size_t silent_connections = 0;
    scripted_upstream peer{loop, [this](std::size_t connection, const http_request&) {
                               return connection < this->silent_connections
                                          ? scripted_reply{}
                                          : scripted_reply{
                                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
                           }};
    platform::kv_store store{loop, peer.address()};

    /// Makes `count` calls at the same time and returns their outcomes.
    std::vector<lease_outcome> renew(std::size_t count)
    {
        std::vector<lease_outcome> outcomes;
        for (std::size_t call = 0; call < count; ++call) {
            this->store.renew_lease(1, [&](lease_outcome end) { outcomes.push_back(end); });
        }
        while (outcomes.size() < count) {
            this->loop.run_one_for(10ms);
        }
        return outcomes;
    }

    /// Makes the connections that are open now silent.
    void silence() { this->silent_connections = this->peer.connections(); }
};

} // namespace

// Guards against calls to the store that wait for their time-out on one dead connection after the
// other (review case 4: a node followed the old configuration for five seconds).
TEST_CASE("after one call without a reply no other old connection to the store is used")
{
    silencing_store silencing;
    CHECK(silencing.renew(6) == std::vector<lease_outcome>(6, lease_outcome::renewed));
    REQUIRE(silencing.peer.connections() == 6);
    silencing.silence();
    CHECK(silencing.renew(1).front() == lease_outcome::unknown);
    CHECK(silencing.renew(1).front() == lease_outcome::renewed);
    CHECK(silencing.peer.connections() == 7);
}

// Guards against connections that work being closed with the silent ones: those opened since.
TEST_CASE("a call without a reply leaves connections open that were used after it began")
{
    silencing_store silencing;
    silencing.renew(1);
    silencing.silence();
    std::vector<lease_outcome> outcomes;
    silencing.store.renew_lease(1, [&](lease_outcome end) { outcomes.push_back(end); });
    silencing.renew(1);
    REQUIRE(silencing.peer.connections() == 2);
    while (outcomes.empty()) {
        silencing.loop.run_one_for(10ms);
    }
    CHECK(outcomes.front() == lease_outcome::unknown);
    CHECK(silencing.renew(1).front() == lease_outcome::renewed);
    CHECK(silencing.peer.connections() == 2);
}
