#include "test/support/runner_beside_upstream.hpp"
#include "test/support/scripted_upstream.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

// Guards against a reservation that waits while the upstream beside the node is replaced by one of
// another service: it was offered a slot there, and the request ran at the wrong service.
TEST_CASE("a reservation does not outlive the replacement of its upstream by another service")
{
    runner_beside_upstream beside;
    beside.start_upstream("first", "books");
    beside.reserve(1);
    beside.reserve(2);
    REQUIRE(beside.offers(1) == 1);
    REQUIRE(beside.offers(2) == 0);
    beside.start_upstream("second", "ledgers");
    beside.runner.receive(node_id{"caller"}, release_reservation_message{1}, beside.collect);
    CHECK(beside.offers(2) == 0);
    CHECK(beside.is_declined(2));
}

// Guards against a request that uses an offer of the upstream before: it must not be sent.
TEST_CASE("an offer of a replaced upstream of another service is not used")
{
    runner_beside_upstream beside;
    beside.start_upstream("first", "books");
    beside.reserve(1);
    REQUIRE(beside.offers(1) == 1);
    beside.start_upstream("second", "ledgers");
    run_message request;
    request.id = 1;
    request.time_left = 1s;
    beside.runner.receive(node_id{"caller"}, request, beside.collect);
    const auto* failed = std::get_if<failed_message>(&beside.replies.back());
    REQUIRE(failed != nullptr);
    CHECK(failed->kind == run_failure::not_run);
    CHECK(beside.runner.busy_slot_count() == 0);
}

// Guards against work that is declined without need: another lifetime of the same service serves
// what waits.
TEST_CASE("a reservation waits for the next lifetime of its service")
{
    runner_beside_upstream beside;
    beside.start_upstream("first", "books");
    beside.reserve(1);
    beside.reserve(2);
    beside.start_upstream("second", "books");
    beside.runner.receive(node_id{"caller"}, release_reservation_message{1}, beside.collect);
    CHECK(beside.offers(2) == 1);
}

// Guards against unsafe requests that use an offer made before the upstream began to fail: several
// nodes held offers of the same upstream and their requests failed within milliseconds of each
// other.
TEST_CASE("the offers of an upstream that begins to fail are withdrawn")
{
    runner_beside_upstream beside;
    scripted_upstream failing{beside.loop, [](std::size_t, const http_request& request) {
                                  return scripted_reply{
                                      signed_response(500, attempt_id(request), "failed")};
                              }};
    beside.start_upstream("first", "books", 2, failing.address());
    beside.reserve(1);
    beside.reserve(2);
    REQUIRE(beside.offers(2) == 1);
    run_message request;
    request.id = 1;
    request.time_left = 1s;
    request.head.method = "GET";
    request.head.target = "/";
    request.head.headers = {{"Host", "books.example"}, {"X-Attempt-Id", "first"}};
    beside.runner.receive(node_id{"caller"}, request, beside.collect);
    const time_point end = boot_clock::now() + 2s;
    while (boot_clock::now() < end && beside.runner.busy_slot_count() > 0) {
        beside.loop.run_one_for(10ms);
    }
    CHECK(beside.is_declined(2, decline_reason::on_probation));
    request.id = 2;
    beside.runner.receive(node_id{"caller"}, request, beside.collect);
    const auto* failed = std::get_if<failed_message>(&beside.replies.back());
    REQUIRE(failed != nullptr);
    CHECK(failed->kind == run_failure::not_run);
}
