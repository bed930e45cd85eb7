#include "config/codec.hpp"
#include "config/freshness.hpp"
#include "config/replica.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

change make_change(revision_number revision)
{
    const object body{organisation{organisation_id{"o"}, static_cast<double>(revision), 1, 1}};
    return {revision,
            "id",
            object_kind::organisation,
            "o",
            change_operation::put,
            encode_object(body).dump(),
            revision - 1};
}

double rate(const config_replica& replica)
{
    return replica.current()->organisations.at(organisation_id{"o"}).rate;
}

} // namespace

// Guards against a configuration that reverts because older changes arrive late.
TEST_CASE("a replica adopts only newer changes and reports a gap")
{
    config_replica replica;
    CHECK(replica.adopt_changes({make_change(1), make_change(2)}) == adoption_result::adopted);
    CHECK(replica.adopt_changes({make_change(1)}) == adoption_result::ignored);
    CHECK(replica.adopt_changes({}) == adoption_result::ignored);
    CHECK(replica.adopt_changes({make_change(4)}) == adoption_result::gap);
    CHECK(replica.adopt_changes({make_change(2), make_change(3), make_change(4)}) ==
          adoption_result::adopted);
    CHECK(rate(replica) == 4);
    configuration old;
    old.revision = 4;
    CHECK(replica.adopt_snapshot(old) == adoption_result::ignored);
    CHECK(rate(replica) == 4);
    CHECK(replica.changes_since(2)->size() == 2);
    CHECK(replica.counts().gaps == 1);
    CHECK(replica.counts().ignored == 3);
}

// Guards against corrupt input that replaces a valid configuration in whole or in part.
TEST_CASE("corrupt changes are refused as a whole and counted")
{
    config_replica replica;
    CHECK(replica.adopt_changes({make_change(1)}) == adoption_result::adopted);
    change corrupt = make_change(3);
    corrupt.body = R"({"id":"o","rate":-1,"burst":1})";
    CHECK(replica.adopt_changes({make_change(2), corrupt}) == adoption_result::refused);
    corrupt = make_change(2);
    corrupt.name = "other";
    CHECK(replica.adopt_changes({corrupt}) == adoption_result::refused);
    CHECK(replica.adopt_changes({make_change(2), make_change(4)}) == adoption_result::refused);
    CHECK(replica.revision() == 1);
    CHECK(rate(replica) == 1);
    CHECK(replica.counts().refused == 3);
}

// Guards against sending a peer a list of changes that lacks those which a snapshot replaced.
TEST_CASE("changes before a snapshot are not offered to peers")
{
    config_replica replica;
    CHECK(replica.adopt_changes({make_change(1)}) == adoption_result::adopted);
    configuration snapshot = *replica.current();
    snapshot.revision = 10;
    CHECK(replica.adopt_snapshot(snapshot) == adoption_result::adopted);
    CHECK(replica.adopt_changes({make_change(11)}) == adoption_result::adopted);
    CHECK_FALSE(replica.changes_since(9));
    CHECK(replica.changes_since(10)->size() == 1);
    CHECK(replica.changes_since(11)->empty());
}

// Guards against a node that accepts a withdrawn key for more than 3 s after its last proof of
// freshness.
TEST_CASE("freshness changes from current to fleet_only or isolated after 3 s")
{
    const time_point start{100s};
    freshness proofs;
    CHECK(proofs.state(start, 3, 1) == freshness_state::isolated);
    CHECK(proofs.state(start, 3, 2) == freshness_state::fleet_only);
    proofs.record_proof(start);
    proofs.record_proof(start - 1s);
    CHECK(proofs.state(start + 2999ms, 3, 1) == freshness_state::current);
    CHECK(proofs.state(start + 3s, 3, 1) == freshness_state::isolated);
    CHECK(proofs.state(start + 3s, 4, 2) == freshness_state::isolated);
    CHECK(proofs.state(start + 3s, 4, 3) == freshness_state::fleet_only);
}
