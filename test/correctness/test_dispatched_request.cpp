#include "test/support/request_probe.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

// Guards against slots that stand idle while a quota keeper is asked, which takes 200 ms when it is
// cut off.
TEST_CASE("no slot is asked for before the quota admits the request")
{
    request_probe probe{4};
    probe.start("POST", true);
    CHECK(probe.receivers<quota_message>().size() == 1);
    CHECK(probe.receivers<reserve_message>().empty());
    probe.admit();
    CHECK(probe.receivers<reserve_message>().size() == 2);
}

// Guards against repeats that exceed the fleet's bound: each VM that is asked must know that the
// request was sent before, and VMs without budget are not asked one after the other for ever.
TEST_CASE("a repeat is marked, and given up when the budgets are used up")
{
    request_probe probe{8};
    probe.start("GET", false);
    const auto first = probe.receivers<reserve_message>().front();
    CHECK_FALSE(probe.last_terms(first).is_repeat);
    probe.offer(first, 0ms);
    probe.fail(first);
    CHECK_FALSE(probe.answer.has_value());
    for (std::size_t asked = 2; asked < 6; ++asked) {
        const auto vm = probe.receivers<reserve_message>()[asked];
        CHECK(probe.last_terms(vm).is_repeat);
        probe.decline(vm, decline_reason::repeat_budget);
    }
    REQUIRE(probe.answer.has_value());
    CHECK(probe.answer->status == 500);
}
