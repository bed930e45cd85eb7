#include "dispatch/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad {
namespace {

/// Weight of one failure. Upstreams that fail most requests for a second every half minute cause
/// more failures than the 1.2% of requests that fail on sound ones, so one failure is strong
/// evidence.
constexpr double failure_weight = 0.6;

/// Weight of one success; in a gray episode one request in seven succeeds.
constexpr double success_weight = 0.5;

/// Failures fade with this half-life even without outcomes, so that an upstream is tried again;
/// gray episodes last from one to some seconds, and each new failure renews the suspicion.
constexpr std::chrono::milliseconds failure_half_life{800};

/// Weight of one run time; run times spread widely, so one alone says little.
constexpr double run_time_weight = 0.2;

/// A single long run counts at most this many times its expected time.
constexpr double largest_ratio = 8;

constexpr std::chrono::milliseconds slowdown_half_life{2'000};

/// An upstream is tried after this time without a request: sound ones must not go without work for
/// two seconds while the service is short of slots.
constexpr std::chrono::milliseconds trial_interval{1'600};

/// Slowdowns below this are within the spread of run times.
constexpr double usual_slowdown = 1.7;

/// Runs that reach their deadline within this many times their expected time are usual ones: run
/// times spread by about their mean.
constexpr int usual_spread = 2;

/// An upstream ends a run a little before the deadline that it was given, by the way back.
constexpr std::chrono::milliseconds deadline_margin{20};

double fade(double value, time_point since, time_point now, std::chrono::milliseconds half_life)
{
    const std::chrono::duration<double> age = now - since;
    const std::chrono::duration<double> half = half_life;
    return value * std::exp2(-std::max(age.count(), 0.0) / half.count());
}

} // namespace

bool was_cut_short(std::chrono::milliseconds elapsed, std::chrono::milliseconds allowed,
                   std::chrono::milliseconds expected_run)
{
    return elapsed + deadline_margin >= allowed && elapsed < usual_spread * expected_run;
}

std::chrono::milliseconds cost_when_idle(std::chrono::milliseconds expected, time_point idle_since,
                                         time_point now)
{
    return now >= idle_since + trial_interval ? std::chrono::milliseconds{0} : expected;
}

void upstream_health::note_success(time_point now, std::chrono::milliseconds elapsed,
                                   std::chrono::milliseconds expected)
{
    this->failures = this->failure_share(now) * (1 - success_weight);
    this->failures_at = now;
    if (expected.count() > 0) {
        const double seen =
            std::min(static_cast<double>(elapsed.count()) / static_cast<double>(expected.count()),
                     largest_ratio);
        this->ratio = this->slowdown(now) * (1 - run_time_weight) + seen * run_time_weight;
        this->ratio_at = now;
    }
}

void upstream_health::note_failure(time_point now)
{
    const double share = this->failure_share(now);
    this->failures = share + (1 - share) * failure_weight;
    this->failures_at = now;
}

double upstream_health::failure_share(time_point now) const
{
    return fade(this->failures, this->failures_at, now, failure_half_life);
}

double upstream_health::slowdown(time_point now) const
{
    return 1 + fade(this->ratio - 1, this->ratio_at, now, slowdown_half_life);
}

std::chrono::milliseconds upstream_health::expected_cost(time_point now,
                                                         std::chrono::milliseconds expected_run,
                                                         std::chrono::milliseconds failure_cost,
                                                         std::chrono::milliseconds overrun) const
{
    const auto run = static_cast<double>(expected_run.count());
    const double slow = this->slowdown(now);
    // Runs also take longer while the calls that they make wait, so only what is beyond the usual
    // spread counts.
    const double extra_run = std::max(slow - usual_slowdown, 0.0) * run;
    // A stalled request shows before it ends.
    const double stalled = std::max(static_cast<double>(overrun.count()) - 2 * run, 0.0);
    const double cost =
        extra_run + stalled + this->failure_share(now) * static_cast<double>(failure_cost.count());
    return std::chrono::milliseconds{static_cast<std::int64_t>(cost)};
}

} // namespace dragonflyroad
