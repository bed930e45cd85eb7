#include "core/random.hpp"
#include "dispatch/upstream_retry_budget.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

/// A fleet of upstreams of one service during an outage, while upstreams leave, restart with their
/// nodes and are replaced. Every request fails and is repeated at another upstream; offers are
/// outstanding for a while before they are used. Records all arrivals.
class failing_service {
public:
    failing_service(std::uint64_t seed, service_retry_limit bound) : random(seed), limit(bound)
    {
        for (std::size_t index = 0; index < 8; ++index) {
            this->add_upstream();
        }
    }

    void play(std::chrono::milliseconds length)
    {
        for (const time_point end = this->now + length; this->now < end; this->now += 5ms) {
            this->change_membership();
            this->use_offers();
            if (uniform(this->random) < 0.3) {
                ++this->first_arrivals[this->now];
                auto& target = this->any_upstream();
                target.budget.record_sent(0, this->now);
                this->wanted_repeats += 2;
            }
            // Callers ask many upstreams at once.
            for (int attempt = 0; attempt < 6 && this->wanted_repeats > 0; ++attempt) {
                this->offer_repeat();
            }
        }
    }

    /// Greatest excess over the limit of any window.
    double worst_excess() const
    {
        double worst = -1e9;
        for (const auto& [at, count] : this->repeat_arrivals) {
            const time_point end = at + this->limit.window;
            const double repeats = sum(this->repeat_arrivals, at, end);
            const double requests = sum(this->first_arrivals, at, end);
            worst = std::max(worst, repeats - this->limit.ratio * requests - this->limit.slack);
        }
        return worst;
    }

    double total_repeats() const { return sum(this->repeat_arrivals, {}, time_point::max()); }

private:
    struct upstream {
        std::size_t id;
        upstream_retry_budget budget;
        std::size_t known_count;
        time_point learns_at;
    };
    struct open_offer {
        std::size_t upstream;
        time_point used_at;
    };

    static double sum(const std::map<time_point, int>& arrivals, time_point from, time_point to)
    {
        double total = 0;
        for (auto found = arrivals.lower_bound(from); found != arrivals.end() && found->first < to;
             ++found) {
            total += found->second;
        }
        return total;
    }

    void add_upstream()
    {
        this->upstreams.push_back({++this->last_id, upstream_retry_budget{this->limit, this->now},
                                   this->upstreams.size() + 1, this->now + 2s});
    }

    upstream& any_upstream()
    {
        return this->upstreams[uniform_index(this->random, this->upstreams.size())];
    }

    void change_membership()
    {
        const double event = uniform(this->random);
        if (event < 0.002 && this->upstreams.size() > 4) {
            const auto index = uniform_index(this->random, this->upstreams.size());
            this->upstreams.erase(this->upstreams.begin() + static_cast<std::ptrdiff_t>(index));
        }
        else if (event < 0.004 && this->upstreams.size() < 10) {
            this->add_upstream();
        }
        else if (event < 0.005) {
            // The node beside the upstream starts again and remembers nothing.
            upstream& restarted = this->any_upstream();
            restarted.budget = upstream_retry_budget{this->limit, this->now};
            restarted.known_count = 1;
            restarted.learns_at = this->now + 2s;
        }
        for (upstream& known : this->upstreams) {
            if (this->now >= known.learns_at) {
                known.known_count = this->upstreams.size();
                known.learns_at = this->now + 1s;
            }
        }
    }

    void offer_repeat()
    {
        upstream& target = this->any_upstream();
        if (target.budget.has_room(1, target.known_count, this->now)) {
            target.budget.hold(1);
            this->offers.push_back({target.id, this->now + 5ms * uniform_index(this->random, 50)});
            --this->wanted_repeats;
        }
    }

    void use_offers()
    {
        std::erase_if(this->offers, [&](const open_offer& offer) {
            if (offer.used_at > this->now) {
                return false;
            }
            for (upstream& target : this->upstreams) {
                if (target.id == offer.upstream && uniform(this->random) < 0.8) {
                    target.budget.record_sent(1, this->now);
                    ++this->repeat_arrivals[this->now + 1ms * uniform_index(this->random, 100)];
                }
                else if (target.id == offer.upstream) {
                    target.budget.release(1);
                }
            }
            return true;
        });
    }

    random_engine random;
    service_retry_limit limit;
    time_point now = start;
    std::vector<upstream> upstreams;
    std::vector<open_offer> offers;
    std::map<time_point, int> first_arrivals;
    std::map<time_point, int> repeat_arrivals;
    std::size_t last_id = 0;
    int wanted_repeats = 0;
};

} // namespace

// Guards against more repeats than the fleet may send: 203 instead of 197 arrived in ten seconds
// when offers that were open at the same time passed the same check and upstreams that were
// replaced started with a full budget (observed in kerlann-atelier, scale-1).
TEST_CASE("while upstreams come, go and restart, no window holds more repeats than allowed")
{
    const service_retry_limit bound{};
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        failing_service service{seed, bound};
        service.play(45s);
        CHECK(service.worst_excess() <= 0);
        // The budget is of use: most of what the ratio alone allows is sent.
        CHECK(service.total_repeats() > 0.5 * bound.ratio * 0.3 * 45 * 200);
    }
}

// Guards against a retry storm that makes an outage worse, whenever it begins.
TEST_CASE("repeats at all upstreams of a service stay within the ratio plus the slack")
{
    const service_retry_limit bound{};
    constexpr std::size_t upstreams = 24;
    constexpr double requests_per_window = 40;
    upstream_retry_budget budget{bound, start - 20s};
    std::deque<time_point> recent;
    for (int request = 0; request < 160; ++request) {
        const time_point now = start + request * 250ms;
        budget.record_sent(0, now);
        const bool is_outage = request >= 80;
        while (is_outage && budget.has_room(1, upstreams, now)) {
            budget.hold(1);
            budget.record_sent(1, now);
            recent.push_back(now);
        }
        std::erase_if(recent, [&](time_point at) { return at < now - bound.window; });
        CHECK(static_cast<double>(upstreams * recent.size()) <=
              bound.ratio * upstreams * requests_per_window + bound.slack);
    }
    CHECK(recent.size() >= 4);
}

// Guards against repeats that are refused while most of the service's budget is unused: failures
// come in bursts, and a caller's node sends few requests to each service.
TEST_CASE("an upstream that received a few dozen requests allows several repeats in a row")
{
    upstream_retry_budget budget{service_retry_limit{}, start - 20s};
    time_point now = start;
    for (int request = 0; request < 60; ++request) {
        now += 100ms;
        budget.record_sent(0, now);
    }
    for (int repeat = 0; repeat < 4; ++repeat) {
        CHECK(budget.has_room(1, 12, now));
        budget.hold(1);
    }
}

// Guards against calls of repeated runs that are counted as first requests: they are repeats where
// they arrive. A call that is probably no repeat is never held back.
TEST_CASE("calls use the budget by the probability that a repeated run has made them")
{
    upstream_retry_budget budget{service_retry_limit{}, start};
    for (int call = 0; call < 40; ++call) {
        CHECK(budget.has_room(0.25, 12, start));
        budget.hold(0.25);
        budget.record_sent(0.25, start);
    }
    // 40 calls count as 30 first requests, which allow 5.4 repeats, and as 10 repeats.
    CHECK_FALSE(budget.has_room(1, 12, start));
    CHECK(budget.has_room(0.25, 12, start));
}
