#include "membership/announcement_table.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};
const upstream_id upstream{"1.2.3.4:80"};

upstream_record record(incarnation run, std::uint64_t sequence,
                       announced_state state = announced_state::serving)
{
    return {upstream, service_name{"s"}, 7, state, run, sequence};
}

} // namespace

// Guards against delayed gossip that overwrites newer records.
TEST_CASE("the record with the highest run and sequence wins in any order of arrival")
{
    announcement_table table{1};
    CHECK(table.merge(record(5, 2), start) == merge_outcome::newer);
    CHECK(table.merge(record(5, 2), start) == merge_outcome::known);
    CHECK(table.merge(record(5, 1, announced_state::draining), start) == merge_outcome::older);
    CHECK(table.merge(record(6, 1, announced_state::draining), start) == merge_outcome::newer);
    CHECK(table.merge(record(5, 9), start) == merge_outcome::older);
    CHECK(table.in_rotation().at(0).state == announced_state::draining);
}

// Guards against gossip traffic for each renewal, and against upstreams that stay in rotation after
// their last renewal has expired.
TEST_CASE("a renewal keeps an upstream for 3 s and is not gossiped")
{
    announcement_table table{1};
    const local_upstream_state offer{upstream, service_name{"s"}, 7, announced_state::serving};
    CHECK(table.announce(offer, start));
    CHECK_FALSE(table.announce(offer, start + 2s));
    CHECK(table.expire(start + 4999ms).empty());
    const auto ended = table.expire(start + 5s);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].state == announced_state::unregistered);
    CHECK(table.in_rotation().empty());
    CHECK(table.announce(offer, start + 6s)->sequence > ended[0].sequence);
}

// Guards against delayed gossip that adds a removed upstream again, and against removal records
// that use memory without bound.
TEST_CASE("removal records outlast delayed gossip and then expire")
{
    announcement_table table{1};
    table.merge(record(5, 2, announced_state::unregistered), start);
    table.expire(start + 29min);
    CHECK(table.merge(record(5, 1), start + 29min) == merge_outcome::older);
    table.expire(start + 31min);
    CHECK(table.all_records().empty());
}

// Guards against requests sent to a dead VM: once its node is lost, the first failed request takes
// the upstream out of rotation.
TEST_CASE("a failed request takes a lost node's upstream out of rotation")
{
    announcement_table table{1};
    table.merge(record(5, 2), start);
    table.record_failure(upstream, start);
    CHECK(table.in_rotation().size() == 1);
    table.on_node_lost(5, start);
    table.record_failure(upstream, start + 1s);
    CHECK(table.in_rotation().empty());
    table.on_node_alive(5);
    CHECK(table.in_rotation().size() == 1);
}
