#include "mesh/upstream_runner.hpp"

#include "adapters/log.hpp"

#include <algorithm>

namespace dragonflyroad {

void upstream_runner::set_evacuated(bool evacuated)
{
    if (this->is_evacuated == evacuated) {
        return;
    }
    this->is_evacuated = evacuated;
    const time_point now = boot_clock::now();
    std::size_t withdrawn = 0;
    if (evacuated) {
        for (const auto& [key, entry] : std::map{this->runs}) {
            if (entry->state == stage::offered) {
                this->release(key);
                ++withdrawn;
            }
        }
    }
    else {
        // Upstreams of an evacuated data centre may have become cold meanwhile. A report that was
        // sent before that may still arrive, so reports do not shorten the assumption.
        this->update_cold_state();
        this->pacing.assume_cold(now);
    }
    this->declined_by_evacuation += withdrawn + this->queue.size();
    log_line{"evacuation_applied"}
        .add("evacuated", evacuated)
        .add("offers_withdrawn", withdrawn)
        .add("waiting", this->queue.size())
        .add("in_use", this->slots_in_use);
    // Declines what waits while the data centre is evacuated.
    this->tick();
}

void upstream_runner::restore_departures(const departed_lifetimes& recorded)
{
    if (!this->reports.restore(recorded)) {
        return;
    }
    log_line{"upstream_left"}.add("source", "store").add("current", true);
    this->upstream_changed();
    this->tick();
}

void upstream_runner::update_cold_state()
{
    const auto& current = this->reports.current();
    if (!current) {
        return;
    }
    const time_point now = boot_clock::now();
    if (this->find_cold_limit) {
        this->pacing.set_limit(this->find_cold_limit(current->service));
    }
    const bool was_cold = this->pacing.is_cold(now);
    this->pacing.report_cold_until(current->cold_until);
    if (!was_cold && this->pacing.is_cold(now)) {
        log_line{"upstream_cold"}
            .add("upstream", current->id)
            .add("left_ms", milliseconds_between(now, current->cold_until).count());
    }
}

double upstream_runner::warm_capacity() const
{
    const std::chrono::duration<double> run_time = this->typical_run;
    return this->reports.current()->slots / std::max(run_time.count(), 0.001);
}

bool upstream_runner::may_offer(time_point now) const
{
    return this->has_free_slot() &&
           this->pacing.admits(this->slots_offered, this->warm_capacity(), now);
}

} // namespace dragonflyroad
