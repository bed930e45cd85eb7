#include "test/small_fleet.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;
using namespace std::chrono_literals;

// Guards against a node that, after a pause of its own, concludes that its peers were silent.
TEST_CASE("a node that was paused suspects no peer when it resumes")
{
    small_fleet fleet{6};
    fleet.run_for(5s);
    fleet.paused[4] = true;
    fleet.run_for(20s);
    fleet.changes.clear();
    fleet.paused[4] = false;
    fleet.run_for(10s);
    for (const auto& [node, change] : fleet.changes) {
        CHECK((node != 4 || change.to == peer_state::alive));
    }
    for (std::size_t node = 0; node < 6; ++node) {
        if (node != 4) {
            CHECK(fleet.state(node, 4) == peer_state::alive);
        }
    }
}

// Guards against counting an acknowledgement as fresh although a pause delayed it.
TEST_CASE("evidence is dated to the time at which the ping was sent")
{
    random_engine random{1};
    const time_point start{100s};
    fleet_membership requester{test::card_of(0), {"n1"}, "secret"};
    fleet_membership witness{test::card_of(1), {}, "secret"};
    witness.tick(start, random);
    advertised_state facts;
    facts.ledger_proof = start - 400ms;
    witness.set_advertised_state(facts, start);
    const auto pinged = requester.tick(start, random);
    REQUIRE(pinged.datagrams.size() == 1);
    const auto answered = witness.on_datagram(pinged.datagrams[0].bytes, start + 100ms, random);
    REQUIRE(answered.datagrams.size() == 1);
    const auto received = requester.on_datagram(answered.datagrams[0].bytes, start + 2s, random);
    REQUIRE(received.evidence);
    CHECK(received.evidence->proved_at == start);
    CHECK(received.evidence->witness_promise);
    CHECK(*received.evidence->ledger_proof == start - 500ms);
}
