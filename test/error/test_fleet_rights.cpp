#include "test/support/fake_upstream.hpp"
#include "test/support/raw_socket.hpp"
#include "test/support/test_node.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::test;

// Guards against a node that admits without a seat, and against two nodes that together admit more
// than rate x time + burst.
TEST_CASE("two nodes admit no more than the organisation's rate and burst")
{
    fake_upstream upstream{
        [](const std::string&) { return fake_upstream::reply{plain_answer(200, "hello")}; }};
    constexpr double rate = 50;
    constexpr double burst = 10;
    test_node first;
    first.decisions.rate = nullptr;
    first.config.organisations.insert_or_assign(organisation_id{"acme"},
                                                {organisation_id{"acme"}, rate, burst, 1});
    const time_point began = boot_clock::now();
    first.start();
    test_node second;
    second.decisions.rate = nullptr;
    second.values = first.values;
    second.config = first.config;
    second.settings.id = node_id{"node-2"};
    second.settings.seeds = {first.running->peer_address()};
    second.adjust = [](node_builder& builder) { builder.with_incarnation(0xdef); };
    second.start();
    first.announce(upstream.address());
    second.announce(upstream.address());
    raw_client one{first.caller()};
    raw_client two{second.caller()};
    std::size_t served_by_one = 0;
    std::size_t served_by_two = 0;
    const time_point limit = boot_clock::now() + std::chrono::seconds{20};
    while ((served_by_one < 30 || served_by_two < 30) && boot_clock::now() < limit) {
        served_by_one += one.exchange(request_text("GET", "/marks/1")).status == 200 ? 1 : 0;
        served_by_two += two.exchange(request_text("GET", "/marks/1")).status == 200 ? 1 : 0;
        // Renews the announcements before they expire.
        first.announce(upstream.address());
        second.announce(upstream.address());
    }
    const double elapsed = std::chrono::duration<double>(boot_clock::now() - began).count();
    CHECK(served_by_one >= 30);
    CHECK(served_by_two >= 30);
    CHECK(static_cast<double>(served_by_one + served_by_two) <= rate * elapsed + burst);
}
