#include "routing/concurrency_limit.hpp"
#include "routing/picker.hpp"
#include "routing/upstream_set.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const service_name service{"estimates"};
const time_point start{1000s};

upstream_id to_id(int number)
{
    return upstream_id{"10.0.0." + std::to_string(number) + ":8080"};
}

void fill(upstream_set& set, int count, std::uint32_t slots = 7)
{
    for (int number = 1; number <= count; ++number) {
        set.apply({to_id(number), service, slots, upstream_state::ready, 60s}, start);
    }
}

} // namespace

// Guards against requests sent to an upstream that is draining, expired or ejected (invariant I9).
TEST_CASE("an upstream out of rotation is not picked, and no exchange begins at it")
{
    upstream_set set;
    fill(set, 3);
    random_engine random(1);
    set.apply({to_id(1), service, 7, upstream_state::draining}, start);
    set.apply({to_id(2), service, 7, upstream_state::expired}, start);
    for (int count = 0; count < 200; ++count) {
        CHECK(pick(*set.view(service), {}, random, start)->id == to_id(3));
    }
    CHECK_FALSE(set.begin(service, to_id(1), {}, start));
    CHECK_FALSE(set.begin(service, to_id(2), {}, start));
    set.view(service)->upstreams[2]->step.store(ejection_step::ejected);
    CHECK(pick(*set.view(service), {}, random, start) == nullptr);
    CHECK_FALSE(set.begin(service, to_id(3), {}, start));
}

// Guards against a retry at the upstream that just failed the request.
TEST_CASE("an excluded upstream is not picked")
{
    upstream_set set;
    fill(set, 2);
    random_engine random(2);
    const std::vector<upstream_id> tried{to_id(1)};
    for (int count = 0; count < 100; ++count) {
        CHECK(pick(*set.view(service), {tried, true}, random, start)->id == to_id(2));
    }
}

// Guards against more requests in flight than the concurrency limit, and against finished requests
// that still count against it.
TEST_CASE("begin stops at the concurrency limit and finish frees a slot")
{
    upstream_set set;
    fill(set, 1, 3);
    std::vector<exchange> running;
    while (auto next = set.begin(service, to_id(1), {}, start)) {
        running.push_back(*next);
    }
    CHECK(running.size() == max_concurrency_limit(3));
    upstream_set::finish(running.front(), outcome_kind::success, start + 20ms);
    CHECK(set.begin(service, to_id(1), {}, start).has_value());
}

// Guards against overloading a cold upstream, and against one that never gets its full share.
TEST_CASE("a cold upstream gets few requests at first and its full share after the slow start")
{
    upstream_set set;
    fill(set, 5);
    set.apply({to_id(6), service, 7, upstream_state::ready, 0s}, start);
    const auto entry = set.view(service)->upstreams.back();
    CHECK(routing_weight(*entry, start) == doctest::Approx(0.1));
    CHECK(routing_weight(*entry, start + 5s) == doctest::Approx(0.55));
    CHECK(routing_weight(*entry, start + 10s) == doctest::Approx(1));
    random_engine random(3);
    std::map<upstream_id, int> picked;
    for (int count = 0; count < 6000; ++count) {
        ++picked[pick(*set.view(service), {}, random, start + 1s)->id];
    }
    CHECK(picked[to_id(6)] < 100);
}

// Guards against a limit that leaves its range or does not react to queueing at the upstream.
TEST_CASE("the concurrency limit falls with the latency and stays within its range")
{
    upstream_set set;
    fill(set, 1, 3);
    const auto entry = set.view(service)->upstreams.front();
    entry->reference->median_ns.store(duration{20ms}.count());
    const auto run = [&](duration latency) {
        std::vector<exchange> running;
        while (auto next = upstream_set::begin(entry, {}, start)) {
            running.push_back(*next);
        }
        for (const exchange& one : running) {
            upstream_set::finish(one, outcome_kind::success, start + latency);
        }
        update_concurrency_limit(*entry, 20ms, false);
    };
    for (int count = 0; count < 20; ++count) {
        run(200ms);
    }
    CHECK(entry->limit.load() == 1);
    for (int count = 0; count < 60; ++count) {
        run(20ms);
    }
    CHECK(entry->limit.load() == max_concurrency_limit(3));
    update_concurrency_limit(*entry, 20ms, true);
    CHECK(entry->limit.load() == max_concurrency_limit(3) / 2);
}
