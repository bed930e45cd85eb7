#include "dispatch/door_admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
const service_name service{"quotes"};
const work_rank urgent{true, 0, 0};
const work_rank ordinary{true, 0, 2};
const work_rank call{false, 0, 0};

constexpr int seeds = 20;
constexpr auto objective = 1200ms;
constexpr auto timeout = 3000ms;
constexpr auto run = 240ms;

struct replay_result {
    double value = 0;
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t messages = 0;
    std::vector<std::chrono::milliseconds> refused_after;

    double value_share() const { return this->value / static_cast<double>(this->asked); }
};

struct visit {
    time_point first{};
    int returns_left = 0;
};

/// A service of 24 slots that is asked for 1.7 times its capacity for five seconds. Upstreams
/// decline what cannot start within the timeout; a decline takes `ask_time`, and a request asks one
/// upstream after the other. Refused callers return up to three times.
class door_replay {
public:
    door_replay(bool with_door, std::uint64_t seed) : has_door(with_door), random(seed) {}

    replay_result play()
    {
        for (time_point now = start; now < start + 12s; now += 1ms) {
            const bool is_peak = now >= start + 2s && now < start + 7s;
            if (uniform(this->random) < (is_peak ? 1.7 : 0.7) * slots / 240.0) {
                ++this->result.asked;
                this->arrive({now, 3}, now);
            }
            while (!this->returning.empty() && this->returning.begin()->first <= now) {
                this->arrive(this->returning.extract(this->returning.begin()).mapped(), now);
            }
        }
        return this->result;
    }

private:
    static constexpr int slots = 24;
    static constexpr std::size_t upstreams = 80;
    static constexpr auto ask_time = 12ms;

    void arrive(const visit& caller, time_point now)
    {
        // The backlog is cleared by all slots together.
        this->free_at = std::max(this->free_at, now);
        const auto wait = milliseconds_between(now, this->free_at);
        const time_point latest = now + timeout - run;
        if (this->has_door && this->door.decide({service, ordinary, latest}, now)) {
            this->refuse(caller, now, now, wait);
            return;
        }
        if (now + wait > latest) {
            const std::size_t asked = this->has_door ? 16 : upstreams;
            this->result.messages += asked;
            for (std::size_t index = 0; this->has_door && index < asked; ++index) {
                this->door.record_decline(service, ordinary, wait, now);
            }
            this->refuse(caller, now, now + asked * ask_time / 2, wait);
            return;
        }
        this->door.record_accept(service, ordinary);
        this->free_at += std::chrono::milliseconds{run} / slots;
        ++this->result.answered;
        this->result.value += now + wait + run <= caller.first + objective ? 1 : 0.5;
    }

    void refuse(visit caller, time_point arrived, time_point now, std::chrono::milliseconds wait)
    {
        this->result.refused_after.push_back(milliseconds_between(arrived, now));
        if (caller.returns_left-- == 0) {
            return;
        }
        const auto until_deadline = milliseconds_between(now, caller.first + 6s);
        const auto pause =
            this->has_door ? choose_retry_after(
                                 {wait, run, milliseconds_between(now, caller.first + objective),
                                  until_deadline, false},
                                 this->random)
                           : std::min(wait, until_deadline / 3);
        if (until_deadline > pause) {
            this->returning.emplace(now + pause, caller);
        }
    }

    bool has_door;
    random_engine random;
    door_admission door;
    time_point free_at = start;
    std::multimap<time_point, visit> returning;
    replay_result result;
};

replay_result replay(bool has_door)
{
    replay_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const replay_result one = door_replay{has_door, seed}.play();
        sum.value += one.value;
        sum.asked += one.asked;
        sum.answered += one.answered;
        sum.messages += one.messages;
        sum.refused_after.insert(sum.refused_after.end(), one.refused_after.begin(),
                                 one.refused_after.end());
    }
    std::ranges::sort(sum.refused_after);
    MESSAGE(std::string{has_door ? "with door: " : "without: "}
            << "value " << sum.value_share() << ", questions " << sum.messages << ", refused after "
            << (sum.refused_after.empty()
                    ? 0
                    : sum.refused_after[sum.refused_after.size() * 9 / 10].count())
            << " ms (p90)");
    return sum;
}

} // namespace

// Load pattern: 1.7 times the capacity for five seconds, and refused callers return. Guards against
// callers that are held while every upstream of the service is asked in vain.
TEST_CASE("under overload callers are refused at once and served no less")
{
    const replay_result before = replay(false);
    const replay_result after = replay(true);
    REQUIRE(!after.refused_after.empty());
    // A tenth of the objective: the caller has nearly all of its time left to return.
    CHECK(after.refused_after[after.refused_after.size() * 9 / 10] <= objective / 10);
    CHECK(after.value >= 0.98 * before.value);
    CHECK(after.messages * 2 < before.messages);
}

// Guards against urgent work that is rejected because less urgent work waits.
TEST_CASE("declines of less urgent work do not reject urgent work, and calls are never rejected")
{
    door_admission door;
    for (int index = 0; index < 20; ++index) {
        door.record_decline(service, ordinary, 5s, start);
    }
    CHECK_FALSE(door.decide({service, urgent, start + 1s}, start));
    CHECK_FALSE(door.decide({service, call, start + 1s}, start));
    // The first request after the declines is the trial.
    CHECK_FALSE(door.decide({service, ordinary, start + 1s}, start));
    const auto rejected = door.decide({service, ordinary, start + 1s}, start);
    REQUIRE(rejected.has_value());
    CHECK(rejected->retry_after == 5s);
    // What can wait longer than the upstreams expect is admitted.
    CHECK_FALSE(door.decide({service, ordinary, start + 6s}, start));
    CHECK_FALSE(door.decide({service_name{"other"}, ordinary, start + 1s}, start));
}

// Guards against a door that stays closed after the overload.
TEST_CASE("the door opens when work is accepted or the declines are old")
{
    door_admission door;
    const auto decline = [&] {
        for (int index = 0; index < 8; ++index) {
            door.record_decline(service, urgent, 5s, start);
        }
        door.decide({service, ordinary, start + 1s}, start);
    };
    decline();
    CHECK(door.decide({service, ordinary, start + 1s}, start));
    CHECK_FALSE(door.decide({service, ordinary, start + 2s}, start + 1s));
    decline();
    door.record_accept(service, ordinary);
    CHECK_FALSE(door.decide({service, ordinary, start + 1s}, start));
}

// Guards against callers that return together, and against those that cannot be on time any more
// and return before those that can.
TEST_CASE("callers that can be on time return first, the others spread over their time")
{
    random_engine random{7};
    for (int index = 0; index < 100; ++index) {
        const auto soon = choose_retry_after({200ms, 240ms, 1000ms, 6000ms, false}, random);
        CHECK(soon >= 200ms);
        CHECK(soon <= 300ms);
        const auto late = choose_retry_after({900ms, 240ms, 1000ms, 6000ms, false}, random);
        CHECK(late >= 900ms);
        CHECK(late <= 2000ms);
        const auto rejected = choose_retry_after({900ms, 240ms, 1000ms, 6000ms, true}, random);
        CHECK(rejected <= 150ms);
    }
}
