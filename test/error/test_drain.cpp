#include "test/small_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;
using namespace std::chrono_literals;

namespace {

const local_upstream_state serving{upstream_id{"10.0.0.9:80"}, service_name{"markdesk"}, 3,
                                   announced_state::serving};

std::size_t in_rotation(const small_fleet& fleet, std::size_t node)
{
    return fleet.nodes[node]->announcements().in_rotation().size();
}

} // namespace

// Guards invariant I9: every node knows within 3 s that an upstream is draining, here with every
// tenth datagram dropped.
TEST_CASE("draining is known everywhere within 3 s although datagrams are lost")
{
    small_fleet fleet{6};
    std::size_t sent = 0;
    fleet.blocked = [&sent](std::size_t, std::size_t) { return ++sent % 10 == 0; };
    fleet.nodes[2]->announce(serving, fleet.now);
    for (int second = 0; second < 5; ++second) {
        fleet.run_for(1s);
        fleet.nodes[2]->announce(serving, fleet.now);
    }
    for (std::size_t node = 0; node < 6; ++node) {
        REQUIRE(in_rotation(fleet, node) == 1);
    }
    local_upstream_state draining = serving;
    draining.state = announced_state::draining;
    fleet.nodes[2]->announce(draining, fleet.now);
    fleet.run_for(2990ms);
    for (std::size_t node = 0; node < 6; ++node) {
        const auto records = fleet.nodes[node]->announcements().in_rotation();
        REQUIRE(records.size() == 1);
        CHECK(records[0].state == announced_state::draining);
    }
}

// Guards against work sent to an upstream that died without deregistering.
TEST_CASE("an upstream that stops renewing leaves the rotation")
{
    small_fleet fleet{3};
    fleet.run_for(2s);
    fleet.nodes[2]->announce(serving, fleet.now);
    fleet.run_for(2s);
    REQUIRE(in_rotation(fleet, 0) == 1);
    fleet.run_for(3s);
    for (std::size_t node = 0; node < 3; ++node) {
        CHECK(in_rotation(fleet, node) == 0);
    }
}

// Guards against removing the upstreams of a lost node at once, and against never removing them.
TEST_CASE("upstreams of a lost node stay for 30 s at most")
{
    small_fleet fleet{3};
    fleet.run_for(2s);
    fleet.nodes[2]->announce(serving, fleet.now);
    fleet.run_for(1s);
    fleet.blocked = [](std::size_t from, std::size_t to) { return from == 2 || to == 2; };
    fleet.run_for(20s);
    REQUIRE(fleet.state(0, 2) == peer_state::lost);
    CHECK(in_rotation(fleet, 0) == 1);
    fleet.run_for(25s);
    CHECK(in_rotation(fleet, 0) == 0);
}
