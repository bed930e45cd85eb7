#pragma once

#include "core/clock.hpp"

#include <chrono>

namespace dragonflyroad {

/// Whether a run that ended without a usable answer failed too fast to have done its work.
bool is_fast_failure(std::chrono::milliseconds elapsed, std::chrono::milliseconds expected_run);

/// Decides how much work an upstream gets after runs there failed fast. The load pattern: a service
/// is full, and one of its upstreams fails or turns away most of its requests within milliseconds.
/// That upstream always has free slots, so it would draw far more than its share of the requests
/// and use up the budget for repeats. A failure that may have run puts it on probation at once. An
/// upstream that only turns requests away is put on probation after several in a row: what it turns
/// away can go elsewhere, and a whole service may turn away a part of its requests. While on
/// probation it gets one request at a time, with a pause after each one that fails. One success
/// ends the probation. An upstream that fails because its work takes long or because its calls fail
/// is not put on probation. Not synchronised.
class probation {
public:
    /// Records that a run failed fast and may have run.
    void record_fast_failure(time_point now);
    /// Records that the upstream turned a request away.
    void record_rejection(time_point now);
    /// Records a success; one of a trial ends the probation.
    void record_success(bool is_trial);
    /// The trial ended without evidence, for example because its caller has left.
    void end_trial() { this->is_trial_open = false; }

    bool is_active() const { return this->active; }

    /// Ends a probation that only rejections have caused: the service as a whole rejects requests.
    void excuse_rejections();

    /// Whether a request may be sent as the next trial. A request that may not be repeated is used
    /// only when no repeatable one came for a while.
    bool admits(bool is_repeatable, time_point now) const;
    void begin_trial() { this->is_trial_open = true; }

    /// Time until the next trial may start.
    std::chrono::milliseconds time_to_next_trial(time_point now) const;

private:
    bool active = false;
    bool is_trial_open = false;
    bool is_caused_by_rejections = false;
    int rejections_in_a_row = 0;
    std::chrono::milliseconds pause{0};
    time_point next_trial_at{};
};

} // namespace dragonflyroad
