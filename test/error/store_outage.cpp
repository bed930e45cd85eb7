#include "test/support/limits_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

namespace {

const organisation tenant{organisation_id{"tenant"}, 100, 100, 1};

} // namespace

// Guards against F5: fences that close, or a newcomer that cannot serve, while the store is down.
TEST_CASE("the fleet admits and a newcomer lives on loans while the store is down for hours")
{
    random_engine random(3);
    limits_fleet fleet({.nodes = 6}, {tenant}, random);
    fleet.start_settled();
    fleet.events.run_until(fleet.events.now() + 5s);
    fleet.store.up = false;
    fleet.events.run_until(fleet.events.now() + 2h);
    for (const auto& node : fleet.machines) {
        INFO("node ", node->index);
        CHECK(node->controller->is_open(fleet.local(*node)));
    }

    fleet.kill(2);
    fleet.start(2);
    auto& newcomer = *fleet.machines[2];
    fleet.events.run_until(fleet.events.now() + 5s);
    int admitted = 0;
    for (int count = 0; count < 50; ++count) {
        fleet.request(newcomer, tenant,
                      [&](admission result) { admitted += result == admission::admitted ? 1 : 0; });
        fleet.events.run_until(fleet.events.now() + 100ms);
    }
    CHECK(newcomer.quota->units() == 0);
    CHECK(admitted >= 45);

    fleet.store.up = true;
    fleet.events.run_until(fleet.events.now() + 60s);
    CHECK(fleet.store.current()->find(newcomer.controller->key()) != nullptr);
    CHECK(fleet.store.current()->seats.size() == 6);
    CHECK(newcomer.quota->units() > 0);
}
