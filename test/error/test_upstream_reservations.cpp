#include "mesh/upstream_runner.hpp"
#include "platform/node_settings.hpp"
#include "test/support/scripted_upstream.hpp"

#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// The node beside an upstream, without a network: replies to reservations are collected.
struct runner_beside_upstream {
    runner_beside_upstream()
    {
        this->runner.on_change([] {});
    }

    void start_upstream(const std::string& id, const std::string& service, std::uint32_t slots = 1,
                        const std::string& address = "127.0.0.1:1")
    {
        upstream_check_in report;
        report.id = id;
        report.address = address;
        report.service = service_name{service};
        report.slots = slots;
        report.sequence = 1;
        report.started_at = ++this->born;
        this->runner.apply_check_in(report);
    }

    void reserve(run_id id)
    {
        reserve_message message;
        message.id = id;
        message.service = service_name{"books"};
        message.start_within = 60s;
        message.expected_run = 100ms;
        this->runner.receive(node_id{"caller"}, message, this->collect);
    }

    std::size_t offers(run_id id) const
    {
        std::size_t count = 0;
        for (const link_message& reply : this->replies) {
            const auto* accepted = std::get_if<reservation_accepted_message>(&reply);
            count += accepted != nullptr && accepted->id == id && accepted->is_offer ? 1U : 0U;
        }
        return count;
    }

    bool is_declined(run_id id, decline_reason reason = decline_reason::no_upstream) const
    {
        for (const link_message& reply : this->replies) {
            const auto* declined = std::get_if<reservation_declined_message>(&reply);
            if (declined != nullptr && declined->id == id && declined->reason == reason) {
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context loop;
    header_names names = platform::platform_header_names();
    crash_guard guard;
    std::vector<link_message> replies;
    upstream_runner::reply_function collect = [this](const link_message& reply) {
        this->replies.push_back(reply);
    };
    upstream_runner runner{loop, names, {}, 64U << 20U, [](const service_name&) { return 1U; },
                           guard};
    std::int64_t born = 0;
};

} // namespace

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
