#include "dispatch/service_rejections.hpp"

#include "core/random.hpp"
#include "dispatch/probation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
const service_name service{"quotes"};

/// A service whose upstreams each reject a share of their requests at once, seen by the node beside
/// each of them. A request goes to an upstream with a free slot that is not on probation.
class rejecting_service {
public:
    static constexpr std::size_t upstreams = 24;
    static constexpr std::size_t slots = 3;

    rejecting_service(bool learns, std::uint64_t seed) : has_view(learns), random(seed) {}

    /// Plays eight seconds at 0.9 of what the service can run and returns the share of the requests
    /// that found a slot.
    double play(double rejected_share)
    {
        constexpr auto run = 240ms;
        const double per_ms = 0.9 * upstreams * slots / 240.0 / (1 - rejected_share);
        std::size_t asked = 0;
        std::size_t placed = 0;
        for (time_point now = start; now < start + 8s; now += 1ms) {
            this->end_runs(now);
            double arrivals = per_ms;
            for (; arrivals > 0 && uniform(this->random) < arrivals; arrivals -= 1) {
                ++asked;
                const auto chosen = this->choose(now);
                if (!chosen) {
                    continue;
                }
                ++placed;
                const node_id vm{std::to_string(*chosen)};
                probation& guard = this->guards[*chosen];
                const bool is_trial = guard.is_active();
                const bool is_rejected = uniform(this->random) < rejected_share;
                this->view.record(service, vm, is_rejected, now);
                if (!is_rejected) {
                    guard.record_success(is_trial);
                    this->busy.push_back({*chosen, now + run});
                }
                else if (!this->has_view || !this->view.is_service_wide(service, now)) {
                    guard.record_rejection(now);
                }
            }
        }
        return static_cast<double>(placed) / static_cast<double>(asked);
    }

private:
    struct active_run {
        std::size_t upstream = 0;
        time_point end{};
    };

    void end_runs(time_point now)
    {
        std::erase_if(this->busy, [&](const active_run& known) { return known.end <= now; });
    }

    bool has_room(std::size_t upstream, time_point now)
    {
        probation& guard = this->guards[upstream];
        if (this->has_view && this->view.is_service_wide(service, now)) {
            guard.excuse_rejections();
        }
        const auto in_use = static_cast<std::size_t>(std::ranges::count_if(
            this->busy, [&](const active_run& known) { return known.upstream == upstream; }));
        return in_use < slots && (!guard.is_active() || guard.admits(true, now));
    }

    std::optional<std::size_t> choose(time_point now)
    {
        const std::size_t first = uniform_index(this->random, upstreams);
        for (std::size_t step = 0; step < upstreams; ++step) {
            const std::size_t upstream = (first + step) % upstreams;
            if (this->has_room(upstream, now)) {
                return upstream;
            }
        }
        return std::nullopt;
    }

    bool has_view;
    random_engine random;
    service_rejections view;
    std::array<probation, upstreams> guards;
    std::vector<active_run> busy;
};

double mean_placed(bool learns, double rejected_share)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        sum += rejecting_service{learns, seed}.play(rejected_share);
    }
    MESSAGE(std::string{learns ? "service-wide view: " : "each upstream by itself: "}
            << "rejected share " << rejected_share << ", found a slot " << sum / 10);
    return sum / 10;
}

} // namespace

// Load pattern: all upstreams reject 55% of their requests at random for eight seconds, near the
// capacity that is left. Guards against upstreams that are held back one by one, so that requests
// find no slot although slots are free.
TEST_CASE("a service that rejects a share of all requests keeps its upstreams in use")
{
    const double before = mean_placed(false, 0.55);
    const double after = mean_placed(true, 0.55);
    CHECK(after >= 0.95);
    CHECK(after > before);
}

// Guards against taking a few broken upstreams for a service that rejects as a whole.
TEST_CASE("rejections by a few upstreams are not service-wide")
{
    service_rejections view;
    for (int index = 0; index < 30; ++index) {
        const time_point now = start + index * 50ms;
        view.record(service, node_id{"broken"}, true, now);
        view.record(service, node_id{"sound-" + std::to_string(index % 7)}, false, now);
        CHECK_FALSE(view.is_service_wide(service, now));
    }
}

// Guards against a verdict that outlives its evidence, and one that rests on too little of it.
TEST_CASE("a verdict needs several rejecting upstreams and recent outcomes")
{
    service_rejections view;
    for (int index = 0; index < 3; ++index) {
        view.record(service, node_id{"vm-" + std::to_string(index)}, true, start);
        CHECK_FALSE(view.is_service_wide(service, start));
    }
    view.record(service, node_id{"vm-3"}, false, start);
    CHECK(view.is_service_wide(service, start));
    CHECK(view.rejected_share(service, start) == doctest::Approx(0.75));
    CHECK_FALSE(view.is_service_wide(service, start + 3s));
    CHECK_FALSE(view.is_service_wide(service_name{"other"}, start));
}

// Guards against a probation for failed runs that ends because the service also rejects requests.
TEST_CASE("only a probation that rejections alone have caused is excused")
{
    probation failed;
    failed.record_fast_failure(start);
    failed.record_rejection(start);
    failed.excuse_rejections();
    CHECK(failed.is_active());
    probation rejecting;
    for (int index = 0; index < 4; ++index) {
        rejecting.record_rejection(start);
    }
    REQUIRE(rejecting.is_active());
    rejecting.excuse_rejections();
    CHECK_FALSE(rejecting.is_active());
}
