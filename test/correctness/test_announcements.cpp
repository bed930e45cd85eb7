#include "membership/announcements.hpp"

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

// Guards against old gossip that overrides newer records.
TEST_CASE("the highest run and sequence wins whatever the order of arrival")
{
    announcement_table table{1};
    CHECK(table.merge(record(5, 2), start) == merge_outcome::newer);
    CHECK(table.merge(record(5, 2), start) == merge_outcome::known);
    CHECK(table.merge(record(5, 1, announced_state::draining), start) == merge_outcome::older);
    CHECK(table.merge(record(6, 1, announced_state::draining), start) == merge_outcome::newer);
    CHECK(table.merge(record(5, 9), start) == merge_outcome::older);
    CHECK(table.in_rotation().at(0).state == announced_state::draining);
}

// Guards against gossip for each renewal, and against upstreams that outlive their renewals.
TEST_CASE("renewals keep an upstream for 3 s and are not spread")
{
    announcement_table table{1};
    const upstream_offer offer{upstream, service_name{"s"}, 7, announced_state::serving};
    CHECK(table.announce(offer, start));
    CHECK_FALSE(table.announce(offer, start + 2s));
    CHECK(table.expire(start + 4999ms).empty());
    const auto ended = table.expire(start + 5s);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].state == announced_state::gone);
    CHECK(table.in_rotation().empty());
    CHECK(table.announce(offer, start + 6s)->sequence > ended[0].sequence);
}

// Guards against a removed upstream that returns with late gossip, and against unbounded memory.
TEST_CASE("removal records stay long enough and age out")
{
    announcement_table table{1};
    table.merge(record(5, 2, announced_state::gone), start);
    table.expire(start + 29min);
    CHECK(table.merge(record(5, 1), start + 29min) == merge_outcome::older);
    table.expire(start + 31min);
    CHECK(table.all().empty());
}

// Guards against work for a dead VM: a failed request ends the grace of a lost node's upstream.
TEST_CASE("a failed request ends the time of a lost node's upstream")
{
    announcement_table table{1};
    table.merge(record(5, 2), start);
    table.note_failure(upstream, start);
    CHECK(table.in_rotation().size() == 1);
    table.on_node_lost(5, start);
    table.note_failure(upstream, start + 1s);
    CHECK(table.in_rotation().empty());
    table.on_node_alive(5);
    CHECK(table.in_rotation().size() == 1);
}
