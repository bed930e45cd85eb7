#include "dispatch/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// Weight of one failure. One failure is strong evidence: only 1.2% of requests fail at healthy
/// upstreams, and more failures come from upstreams that fail most requests for a second in every
/// half minute.
constexpr double failure_weight = 0.6;

/// Weight of one success. Less than that of a failure, as one request in seven still succeeds
/// during a gray failure.
constexpr double success_weight = 0.5;

/// The failure estimate decays with this half-life even without outcomes, so that an upstream is
/// tried again after a gray failure, which lasts one to a few seconds. Each new failure raises the
/// estimate again.
constexpr std::chrono::milliseconds failure_half_life{800};

/// Weight of one run time. Run times vary widely, so a single one is weak evidence.
constexpr double run_time_weight = 0.2;

/// Upper bound on the ratio of a single run's time to its expected time.
constexpr double max_run_time_ratio = 8;

constexpr std::chrono::milliseconds slowdown_half_life{2'000};

/// Time without a request after which an upstream receives a trial request. Healthy upstreams must
/// not go without work for two seconds while the service is short of slots.
constexpr std::chrono::milliseconds trial_interval{1'600};

/// Slowdowns up to this are within the usual variation of run times.
constexpr double usual_slowdown = 1.7;

/// If the deadline ends a run before this many times its expected time, the run is within the usual
/// variation: run times vary by about as much as their mean.
constexpr int usual_variation_factor = 2;

/// Tolerance for comparing the end of a run with its deadline: an upstream stops a run a little
/// early, to leave time for the response to return.
constexpr std::chrono::milliseconds deadline_margin{20};

double decay(double value, time_point since, time_point now, std::chrono::milliseconds half_life)
{
    const std::chrono::duration<double> age = now - since;
    const std::chrono::duration<double> half = half_life;
    return value * std::exp2(-std::max(age.count(), 0.0) / half.count());
}

} // namespace

bool is_deadline_too_short(std::chrono::milliseconds elapsed, std::chrono::milliseconds allowed,
                           std::chrono::milliseconds expected_run)
{
    return elapsed + deadline_margin >= allowed && elapsed < usual_variation_factor * expected_run;
}

std::chrono::milliseconds cost_when_idle(std::chrono::milliseconds expected, time_point idle_since,
                                         time_point now)
{
    return now >= idle_since + trial_interval ? std::chrono::milliseconds{0} : expected;
}

void upstream_health::record_success(time_point now, std::chrono::milliseconds elapsed,
                                     std::chrono::milliseconds expected)
{
    this->failure_estimate = this->failure_share(now) * (1 - success_weight);
    this->failure_estimated_at = now;
    if (expected.count() > 0) {
        const double seen =
            std::min(static_cast<double>(elapsed.count()) / static_cast<double>(expected.count()),
                     max_run_time_ratio);
        this->run_time_ratio = this->slowdown(now) * (1 - run_time_weight) + seen * run_time_weight;
        this->run_time_ratio_at = now;
    }
}

void upstream_health::record_failure(time_point now)
{
    const double share = this->failure_share(now);
    this->failure_estimate = share + (1 - share) * failure_weight;
    this->failure_estimated_at = now;
}

double upstream_health::failure_share(time_point now) const
{
    return decay(this->failure_estimate, this->failure_estimated_at, now, failure_half_life);
}

double upstream_health::slowdown(time_point now) const
{
    return 1 + decay(this->run_time_ratio - 1, this->run_time_ratio_at, now, slowdown_half_life);
}

std::chrono::milliseconds upstream_health::expected_cost(time_point now,
                                                         std::chrono::milliseconds expected_run,
                                                         std::chrono::milliseconds failure_cost,
                                                         std::chrono::milliseconds overrun) const
{
    const auto run = static_cast<double>(expected_run.count());
    const double slow = this->slowdown(now);
    // Runs also take longer while the calls that they make wait, so only a slowdown beyond the
    // usual variation counts.
    const double extra_run = std::max(slow - usual_slowdown, 0.0) * run;
    // A stalled request counts while it still runs, once it takes three times its expected time.
    const double stalled = std::max(static_cast<double>(overrun.count()) - 2 * run, 0.0);
    const double cost =
        extra_run + stalled + this->failure_share(now) * static_cast<double>(failure_cost.count());
    return std::chrono::milliseconds{static_cast<std::int64_t>(cost)};
}

} // namespace dragonflyroad
