#include "dispatch/upstream_memory.hpp"

#include "core/random.hpp"

#include <algorithm>

#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;

// Guards against uploads that together exceed the memory of an upstream although each has a slot,
// and against a limit that keeps small requests or a single large one out.
TEST_CASE("large bodies at one upstream stay within a share of its machine's memory")
{
    constexpr std::size_t megabyte = 1U << 20U;
    constexpr std::size_t limit = 40 * megabyte;
    upstream_memory bodies{4 * limit};
    CHECK(bodies.has_room(100 * megabyte));
    random_engine random{28};
    std::vector<std::size_t> running;
    std::size_t most_held = 0;
    for (int step = 0; step < 10'000; ++step) {
        const std::size_t size = (1 + uniform_index(random, 20)) * megabyte;
        CHECK(bodies.has_room(small_body_bytes));
        if (running.size() < 15 && bodies.has_room(size)) {
            bodies.hold(size);
            running.push_back(size);
        }
        else if (!running.empty()) {
            bodies.release(running.back());
            running.pop_back();
        }
        most_held = std::max(most_held, bodies.held_bytes());
    }
    CHECK(most_held <= limit);
    CHECK(most_held > limit / 2);
    for (const std::size_t size : running) {
        bodies.release(size);
    }
    CHECK(bodies.held_bytes() == 0);
}
