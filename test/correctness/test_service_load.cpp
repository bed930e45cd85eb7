#include "dispatch/service_load.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
const node_id first{"vm-1"};
const node_id second{"vm-2"};
const node_id third{"vm-3"};
const node_id fourth{"vm-4"};

/// A full upstream of 4 slots with 3 runs waiting: the next request waits for 4 of the runs, which
/// end 100 ms apart.
constexpr upstream_load_report full{4, 3, 4, 400ms};

} // namespace

// Guards against an upstream with free slots that counts as busy.
TEST_CASE("an upstream with a free slot is expected to start a request at once")
{
    service_load loads;
    loads.record(first, {3, 0, 4, 400ms}, start);
    CHECK(loads.expected_wait(first, start) == 0ms);
}

// Guards against a report that is used as if it were new.
TEST_CASE("the expected wait falls with the age of the report until the report is discarded")
{
    service_load loads;
    loads.record(first, full, start);
    CHECK(loads.expected_wait(first, start) == 400ms);
    CHECK(loads.expected_wait(first, start + 150ms) == 250ms);
    CHECK(loads.expected_wait(first, start + 1s) == 0ms);
    CHECK(loads.report_age(first, start + 1s) == 1s);
    CHECK_FALSE(loads.expected_wait(first, start + 2'001ms).has_value());
}

// Guards against a node that sends all its requests to the upstream of the most favourable report.
TEST_CASE("requests that this node has sent since the report count as load")
{
    service_load loads;
    loads.record(first, {3, 0, 4, 400ms}, start);
    loads.record_sent(first, start);
    CHECK(loads.expected_wait(first, start) == 100ms);
    loads.record_sent(first, start);
    CHECK(loads.expected_wait(first, start) == 200ms);
    loads.record(first, {4, 0, 4, 400ms}, start);
    CHECK(loads.expected_wait(first, start) == 100ms);
}

// Guards against a node of an earlier version, whose messages carry no load, that counts as idle.
TEST_CASE("an empty report changes nothing")
{
    service_load loads;
    loads.record(first, {}, start);
    CHECK_FALSE(loads.expected_wait(first, start).has_value());
    loads.record(first, full, start);
    loads.record(first, {}, start + 10ms);
    CHECK(loads.expected_wait(first, start + 10ms) == 390ms);
    loads.forget(first);
    CHECK_FALSE(loads.expected_wait(first, start).has_value());
}

// Guards against requests that are rejected because of what one upstream out of many has reported.
TEST_CASE("the shortest wait of a service needs reports of half of its upstreams and of two")
{
    service_load loads;
    loads.record(first, full, start);
    CHECK_FALSE(loads.shortest_wait({first}, start).has_value());
    CHECK_FALSE(loads.shortest_wait({first, second}, start).has_value());
    loads.record(second, {4, 1, 4, 400ms}, start);
    CHECK(loads.shortest_wait({first, second}, start) == 200ms);
    CHECK(loads.shortest_wait({first, second, third, fourth}, start) == 200ms);
    CHECK_FALSE(
        loads.shortest_wait({first, second, third, fourth, node_id{"vm-5"}}, start).has_value());
}

// Guards against a memory that grows with every VM that was ever part of the fleet.
TEST_CASE("VMs without a recent report are dropped beyond the size of the largest fleet")
{
    service_load loads;
    for (int vm = 0; vm < 1'024; ++vm) {
        loads.record_sent(node_id{"former-" + std::to_string(vm)}, start);
    }
    loads.record(first, full, start + 10s);
    CHECK(loads.known_count() == 1);
}
