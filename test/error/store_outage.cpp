#include "test/support/limits_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const organisation test_organisation{organisation_id{"tenant"}, 100, 100, 1};

} // namespace

// Guards against an outage of the store that stops admission (failure F5), because fences close or
// a node that starts during the outage cannot serve.
TEST_CASE("while the store is down for hours, nodes admit and a new node serves from loans")
{
    random_engine random(3);
    limits_fleet fleet({.nodes = 6}, {test_organisation}, random);
    fleet.start_settled();
    fleet.events.run_until(fleet.events.now() + 5s);
    fleet.store.up = false;
    fleet.events.run_until(fleet.events.now() + 2h);
    for (const auto& node : fleet.machines) {
        INFO("node ", node->index);
        CHECK(node->controller->has_open_fence(fleet.local(*node)));
    }

    fleet.kill(2);
    fleet.start(2);
    auto& joining_node = *fleet.machines[2];
    fleet.events.run_until(fleet.events.now() + 5s);
    int admitted = 0;
    for (int count = 0; count < 50; ++count) {
        fleet.request(joining_node, test_organisation,
                      [&](admission result) { admitted += result == admission::admitted ? 1 : 0; });
        fleet.events.run_until(fleet.events.now() + 100ms);
    }
    CHECK(joining_node.quota->units() == 0);
    CHECK(admitted >= 45);

    fleet.store.up = true;
    fleet.events.run_until(fleet.events.now() + 60s);
    CHECK(fleet.store.current()->find(joining_node.controller->key()) != nullptr);
    CHECK(fleet.store.current()->seats.size() == 6);
    CHECK(joining_node.quota->units() > 0);
}
