#include "test/small_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;
using namespace std::chrono_literals;

// Guards against suspecting a node because a single peer does not receive from it.
TEST_CASE("a one-way partition is recognised on both sides and no node is suspected")
{
    small_fleet fleet{6};
    fleet.run_for(5s);
    fleet.blocked = [](std::size_t from, std::size_t to) { return from == 1 && to == 2; };
    fleet.run_for(8s);
    CHECK(fleet.state(1, 2) == peer_state::one_way);
    CHECK(fleet.state(2, 1) == peer_state::one_way);
    CHECK(fleet.state(0, 1) == peer_state::alive);
    CHECK(fleet.state(0, 2) == peer_state::alive);
    CHECK(fleet.count(peer_state::suspect) == 0);
    fleet.blocked = nullptr;
    fleet.run_for(4s);
    CHECK(fleet.state(1, 2) == peer_state::alive);
    CHECK(fleet.state(2, 1) == peer_state::alive);
}

// Guards against treating a link that works in one direction only as two-way contact, on which
// fences depend.
TEST_CASE("messages in one direction do not prove two-way contact")
{
    small_fleet fleet{2};
    fleet.run_for(3s);
    fleet.blocked = [](std::size_t from, std::size_t) { return from == 1; };
    const time_point cut = fleet.now;
    fleet.run_for(10s);
    CHECK(*fleet.nodes[0]->peers().find(node_id{"n1"})->last_two_way_proof <= cut);
    CHECK(*fleet.nodes[1]->peers().find(node_id{"n0"})->last_two_way_proof <= cut);
    CHECK(fleet.nodes[1]->peers().measure_reachability(fleet.now).reachable_peers == 0);
}

// Guards against a dead node that its peers still regard as alive.
TEST_CASE("a stopped node becomes suspect, then lost, and alive again after its return")
{
    small_fleet fleet{6};
    fleet.run_for(5s);
    fleet.blocked = [](std::size_t from, std::size_t to) { return from == 3 || to == 3; };
    fleet.run_for(5s);
    CHECK(fleet.state(0, 3) == peer_state::suspect);
    fleet.run_for(5s);
    for (const std::size_t node : {0U, 1U, 2U, 4U, 5U}) {
        CHECK(fleet.state(node, 3) == peer_state::lost);
    }
    fleet.blocked = nullptr;
    fleet.run_for(20s);
    CHECK(fleet.state(0, 3) == peer_state::alive);
    CHECK(fleet.state(3, 0) == peer_state::alive);
}
