#include "dispatch/connection_limit.hpp"
#include "dispatch/memory_budget.hpp"
#include "mesh/http_codec.hpp"
#include "platform/configuration_decoder.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1U << 20U;

} // namespace

// Guards against large bodies that stop just short of their end and take all memory from ordinary
// requests.
TEST_CASE("large bodies leave memory for small ones and for connections")
{
    memory_budget budget{40 * megabyte};
    std::size_t requests = 0;
    while (budget.reserve(8 * megabyte, memory_use::large_request)) {
        ++requests;
    }
    CHECK(requests == 3);
    std::size_t responses = 0;
    while (budget.reserve(megabyte, memory_use::large_response)) {
        ++responses;
    }
    CHECK(responses == 11);
    CHECK(budget.reserve(small_body_bytes, memory_use::small_body));
    CHECK(budget.reserve(small_body_bytes, memory_use::connection));
    CHECK(budget.refusals() == 2);
}

// Guards against a share that turns away what the operators' configuration allows.
TEST_CASE("a single body over its share is admitted while nothing large is held")
{
    memory_budget budget{120 * megabyte};
    CHECK(budget.reserve(100 * megabyte, memory_use::large_request));
    CHECK_FALSE(budget.reserve(megabyte, memory_use::large_request));
    budget.release(100 * megabyte, memory_use::large_request);
    CHECK(budget.reserve(megabyte, memory_use::large_request));
    CHECK_FALSE(budget.reserve(100 * megabyte, memory_use::large_request));
    CHECK_FALSE(memory_budget{40 * megabyte}.reserve(100 * megabyte, memory_use::large_request));
}

// Guards against bytes that stay reserved after their request has ended.
TEST_CASE("a reservation is released once, with its last owner")
{
    const auto budget = std::make_shared<memory_budget>(8 * megabyte);
    {
        memory_reservation first{budget};
        CHECK(first.resize(megabyte, memory_use::large_request));
        CHECK_FALSE(first.resize(9 * megabyte, memory_use::large_request));
        CHECK(budget->reserved() == megabyte);
        memory_reservation second = std::move(first);
        CHECK(second.resize(small_body_bytes, memory_use::small_body));
        CHECK(budget->reserved() == small_body_bytes);
        memory_reservation third{budget};
        CHECK(third.resize(2 * megabyte, memory_use::large_request));
        third = std::move(second);
        CHECK(budget->reserved() == small_body_bytes);
    }
    CHECK(budget->reserved() == 0);
}

// Guards against idle connections of one address that displace those of others, and against closing
// a connection whose request is being served.
TEST_CASE("at the limit the longest unproductive connection of the busiest address gives way")
{
    const time_point now{1h};
    std::vector<connection_state> open{{1, "10.0.0.1", false, now - 60s},
                                       {2, "10.0.0.2", true, now - 50s},
                                       {3, "10.0.0.2", false, now - 10s},
                                       {4, "10.0.0.2", false, now - 20s}};
    CHECK(connection_to_close(open) == 4);
    open[3].has_open_request = true;
    open[2].has_open_request = true;
    CHECK(connection_to_close(open) == 1);
    open[0].has_open_request = true;
    CHECK_FALSE(connection_to_close(open).has_value());
}

// Guards against a limit that callers, nodes and upstreams inside the platform's pages meet: sites
// have up to 300 VMs, and their processes have 4,100 descriptors or more.
TEST_CASE("the ports of the smallest VM admit the links of the largest fleet")
{
    const connection_limits limits = connection_limits::of_process(4'100);
    CHECK(limits.callers >= 1'500);
    CHECK(limits.links >= 2 * 300);
    CHECK(limits.callers + limits.links + 3 * limits.other_port < 4'100 - 200 - 300);
}

// Guards against an upload that runs twice: its kind is newer than the decoder.
TEST_CASE("a route of kind upload is not repeatable")
{
    const auto table = platform::decode_configuration(
        R"({"version":"r1","routes":{"models":{"host":"a.example","prefix":"/m/",)"
        R"("kind":"upload","timeout":"8s","latency_objective":"2500ms","priority":0,)"
        R"("service":"buildhouse","max_attempts":2,"public":false}}})");
    REQUIRE(table.has_value());
    const route_rule* route = table->match("a.example", "/m/1");
    REQUIRE(route != nullptr);
    CHECK_FALSE(route->is_repeatable());
}

// Guards against memory that is reserved only after the body has been buffered.
TEST_CASE("the memory for a body is known from its head or from what has arrived")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    request_decoder with_length{16U << 10U, 8 * megabyte};
    std::string bytes = start;
    CHECK(with_length.decode(bytes) == decode_state::incomplete);
    CHECK(with_length.memory_needed() == 0);
    bytes += "Content-Length: 5000000\r\n\r\n";
    CHECK(with_length.decode(bytes) == decode_state::incomplete);
    CHECK(with_length.memory_needed() == 5'000'000);

    request_decoder chunked{16U << 10U, 8 * megabyte};
    bytes = start + "Transfer-Encoding: chunked\r\n\r\n";
    CHECK(chunked.decode(bytes) == decode_state::incomplete);
    CHECK(chunked.memory_needed() == 0);
    for (std::size_t size = 1; size < 8; ++size) {
        bytes += "100000\r\n" + std::string(megabyte, 'x') + "\r\n";
        CHECK(chunked.decode(bytes) == decode_state::incomplete);
        CHECK(chunked.memory_needed() >= std::min(2 * size, std::size_t{8}) * megabyte);
        CHECK(chunked.memory_needed() <= 8 * megabyte + small_body_bytes);
    }
}
