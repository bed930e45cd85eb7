#include "core/random.hpp"
#include "dispatch/cold_admission.hpp"
#include "dispatch/departed_lifetimes.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

/// The limits of the deployment that first stated them: 13 a second, 27.5 in any one second.
constexpr cold_limit lagos{13, 1.5, 8, 3s};
constexpr std::size_t bound = 27;
constexpr double capacity = 37;

/// Plays many nodes that ask the node beside one upstream, 300 times a second, for offers. Each
/// offer is taken after up to 30 ms, or given back.
class crowd_replay {
public:
    explicit crowd_replay(std::uint64_t seed) : random(seed) {}

    void play(cold_admission& pacing, time_point from, time_point until)
    {
        this->offers.clear();
        for (time_point now = from; now < until; now += 1ms) {
            std::erase_if(this->offers, [&](const auto& offer) {
                if (offer.first > now) {
                    return false;
                }
                if (offer.second) {
                    pacing.record_sent(now);
                    this->sent.push_back(now);
                }
                return true;
            });
            if (uniform(this->random) < 0.3 && pacing.admits(this->offers.size(), capacity, now)) {
                const auto delay = std::chrono::milliseconds{uniform_index(this->random, 30)};
                this->offers.emplace_back(now + delay, uniform(this->random) < 0.8);
            }
        }
    }

    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (auto first = this->sent.begin(); first != this->sent.end(); ++first) {
            const auto last = std::ranges::lower_bound(first, this->sent.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::vector<time_point> sent;

private:
    random_engine random;
    std::vector<std::pair<time_point, bool>> offers;
};

} // namespace

// Guards against a crowd at a cold upstream, and against leaving it without work. Replays requests
// of many nodes at 300 a second with offers that are taken late or given back.
TEST_CASE("a cold upstream gets the rate that it tolerates in every second, and work throughout")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cold_admission pacing{start - 10s};
        pacing.set_limit(lagos);
        pacing.report_cold_until(start + 3s);
        crowd_replay crowd{seed};
        crowd.play(pacing, start, start + 3s);
        CHECK(crowd.most_in_a_second() <= 13);
        CHECK(crowd.sent.size() >= 30);
        time_point last = start;
        for (const time_point at : crowd.sent) {
            CHECK(at - last < 1'150ms);
            last = at;
        }
    }
}

// Guards against more than the bound at an upstream that becomes cold before any report says so:
// the limit that holds while it counts as warm, and the change to the lower one.
TEST_CASE("the bound holds in every second although nobody knows that the upstream is cold")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cold_admission pacing{start - 10s};
        pacing.set_limit(lagos);
        crowd_replay crowd{seed};
        const time_point noticed = start + 2s + std::chrono::milliseconds{seed * 70};
        crowd.play(pacing, start, noticed);
        CHECK(crowd.sent.size() > 30);
        pacing.report_cold_until(noticed + 1'500ms);
        crowd.play(pacing, noticed, start + 8s);
        CHECK(crowd.most_in_a_second() <= bound);
    }
}

// Guards against a second bound's worth of requests after the node beside the upstream was killed:
// the new process knows nothing of what the earlier one sent.
TEST_CASE("the bound holds across a restart of the node beside the upstream")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cold_admission earlier{start - 10s};
        earlier.set_limit(lagos);
        crowd_replay crowd{seed};
        crowd.play(earlier, start, start + 2s);
        const time_point restarted = start + 2s + std::chrono::milliseconds{seed * 13};
        cold_admission later{restarted};
        later.set_limit(lagos);
        crowd.play(later, restarted, start + 6s);
        CHECK(crowd.most_in_a_second() <= bound);
        CHECK(crowd.sent.back() > start + 5s);
    }
}

// Guards against throttling where no limit is stated, and an upstream that is far faster than the
// limit while it is warm.
TEST_CASE("without a limit, or far above it, a warm upstream is not held back")
{
    cold_admission unlimited{start};
    CHECK(unlimited.admits(1'000, capacity, start));
    CHECK(unlimited.wait_for(1'000, capacity, start) == 0ms);
    cold_admission fast{start - 10s};
    fast.set_limit(lagos);
    for (int request = 0; request < 100; ++request) {
        fast.record_sent(start);
    }
    CHECK(fast.admits(0, 1'000, start));
    CHECK_FALSE(fast.admits(0, capacity, start));
    fast.report_cold_until(start + 3s);
    CHECK_FALSE(fast.admits(0, 1'000, start));
}

// Guards against requests that wait for a cold upstream longer than they can: the wait that is
// announced grows with what is ahead.
TEST_CASE("the announced wait follows the limit of a cold upstream")
{
    cold_admission pacing{start - 10s};
    pacing.set_limit(lagos);
    pacing.assume_cold(start);
    CHECK(pacing.is_cold(start + 2'999ms));
    CHECK_FALSE(pacing.is_cold(start + 3s));
    CHECK(pacing.wait_for(0, capacity, start) == 0ms);
    CHECK(pacing.wait_for(26, capacity, start) >= 1s);
    CHECK(pacing.wait_for(26, capacity, start) <= 1'300ms);
}

// Guards against an upstream that gets nothing at all when it tolerates less than one request a
// second.
TEST_CASE("an upstream that tolerates less than one request a second still gets work")
{
    cold_admission pacing{start - 10s};
    pacing.set_limit({0.5, 1, 0, 3s});
    pacing.report_cold_until(start + 20s);
    CHECK(pacing.admits(0, 1, start));
    pacing.record_sent(start);
    CHECK_FALSE(pacing.admits(0, 1, start + 1'900ms));
    CHECK(pacing.admits(0, 1, start + 2'200ms));
}

// Guards against a list of departed lifetimes that is lost or misread on its way through the store,
// or that a foreign text breaks.
TEST_CASE("departed lifetimes survive their text form")
{
    departed_lifetimes left;
    CHECK(left.to_text().empty());
    left.add("first", 1000);
    left.add("first", 900);
    for (int number = 0; number < 40; ++number) {
        left.add("later-" + std::to_string(number), 2000 + number);
    }
    const auto restored = departed_lifetimes::from_text(left.to_text());
    CHECK(restored.all() == left.all());
    CHECK(restored.contains("later-39", 2039));
    CHECK_FALSE(restored.contains("later-39", 2040));
    CHECK(departed_lifetimes::from_text("\xff[1").is_empty());
    CHECK(departed_lifetimes::from_text(R"({"a":"x","b":7})").all().size() == 1);
}
