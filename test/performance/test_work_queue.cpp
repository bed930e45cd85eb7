#include "dispatch/work_queue.hpp"

#include "core/random.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

/// Requests of one kind that arrive at a steady rate.
struct arrival_stream {
    work_rank rank;
    double per_second = 0;
    std::chrono::milliseconds run{0};
    std::chrono::milliseconds start_within{0};
    organisation_id organisation;
};

struct stream_result {
    std::size_t arrived = 0;
    std::size_t served = 0;
    std::size_t declined = 0;
    std::size_t expired = 0;
    std::chrono::milliseconds longest_wait_before_expiry{0};

    double served_share() const
    {
        return static_cast<double>(this->served) /
               static_cast<double>(std::max<std::size_t>(this->arrived, 1));
    }
};

/// Simulates streams of arrivals at one upstream in steps of 1 ms.
std::vector<stream_result> simulate(const std::vector<arrival_stream>& streams, std::size_t slots,
                                    std::chrono::milliseconds length, std::uint64_t seed)
{
    work_queue queue;
    queue.set_capacity(slots, 200ms);
    random_engine random{seed};
    std::vector<stream_result> results(streams.size());
    std::map<queue_ticket, std::pair<std::size_t, time_point>> waiting;
    std::vector<time_point> busy;
    queue_ticket ticket = 0;
    for (time_point now = start; now < start + length; now += 1ms) {
        std::erase_if(busy, [&](time_point free_at) { return free_at <= now; });
        for (const queue_ticket expired : queue.expire(now)) {
            const auto [stream, since] = waiting.at(expired);
            ++results[stream].expired;
            waiting.erase(expired);
        }
        for (std::size_t index = 0; index < streams.size(); ++index) {
            const arrival_stream& stream = streams[index];
            if (uniform(random) >= stream.per_second / 1000) {
                continue;
            }
            ++results[index].arrived;
            const queued_request work{++ticket, stream.organisation, stream.rank,
                                      now + stream.start_within, stream.run};
            if (queue.push(work, now)) {
                waiting[ticket] = {index, now};
            }
            else {
                ++results[index].declined;
            }
        }
        while (busy.size() < slots) {
            const auto next = queue.pop(now);
            if (!next) {
                break;
            }
            const std::size_t index = waiting.at(*next).first;
            ++results[index].served;
            busy.push_back(now + streams[index].run);
            waiting.erase(*next);
        }
    }
    return results;
}

const work_rank call{false, 0, 0};
const work_rank urgent{true, 0, 1};
const work_rank ordinary{true, 0, 2};

} // namespace

// Load pattern: other services send an upstream more calls than it can serve. Guards against
// starvation of new requests, which occurred when calls had strict priority (observed at
// voucher-issue on siamcite-ho-grown).
TEST_CASE("under too many calls new requests are served at least a quarter as often as all work")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto results = simulate({{call, 60, 110ms, 1000ms, organisation_id{}},
                                       {ordinary, 6, 350ms, 1000ms, organisation_id{"school"}}},
                                      5, 20s, seed);
        CAPTURE(seed);
        const double all = static_cast<double>(results[0].served + results[1].served) /
                           static_cast<double>(results[0].arrived + results[1].arrived);
        CHECK(results[1].served_share() >= all / 4);
        CHECK(results[0].served_share() >= results[1].served_share());
    }
}

// Load pattern: calls that fit the capacity, with new requests beside them. Guards against calls
// that are queued behind long requests.
TEST_CASE("calls within the capacity are served beside a burst of new requests")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto results = simulate({{call, 20, 110ms, 1000ms, organisation_id{}},
                                       {ordinary, 30, 350ms, 1000ms, organisation_id{"school"}}},
                                      5, 20s, seed);
        CAPTURE(seed);
        CHECK(results[0].served_share() >= 0.95);
    }
}

// Load pattern: twice the load that the slots can serve. Guards against requests that wait in the
// queue until they expire instead of being declined at once.
TEST_CASE("at twice the capacity most requests that cannot be served are declined at once")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto results =
            simulate({{ordinary, 50, 200ms, 800ms, organisation_id{"council"}}}, 5, 20s, seed);
        CAPTURE(seed);
        CHECK(results[0].served_share() >= 0.45);
        CHECK(results[0].declined > results[0].expired);
    }
}

// Load pattern: overload by requests of low urgency. Guards against priority inversion: urgent
// requests that are served less often than ordinary ones.
TEST_CASE("more urgent requests are served first")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto results = simulate({{urgent, 10, 200ms, 800ms, organisation_id{"a"}},
                                       {ordinary, 50, 200ms, 800ms, organisation_id{"b"}}},
                                      5, 20s, seed);
        CAPTURE(seed);
        CHECK(results[0].served_share() >= 0.95);
        CHECK(results[0].served_share() >= results[1].served_share());
    }
}

// Load pattern: one organisation at eight times its usual load. Guards against starvation of small
// organisations.
TEST_CASE("an organisation at eight times its load does not starve another one")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto results = simulate({{ordinary, 5, 200ms, 800ms, organisation_id{"small"}},
                                       {ordinary, 60, 200ms, 800ms, organisation_id{"hot"}}},
                                      5, 20s, seed);
        CAPTURE(seed);
        CHECK(results[0].served_share() >= 0.8);
    }
}
