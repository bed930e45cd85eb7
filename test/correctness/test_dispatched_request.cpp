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
