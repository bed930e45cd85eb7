#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace dragonflyroad::bench {

enum class upstream_fault {
    none,
    /// Accepts requests and never answers.
    stall,
    /// Every request takes ten times as long.
    slow,
    /// One request in four takes ten times as long.
    slow_share,
    /// Slow and sound in turns of three seconds.
    flap,
};

/// Service times of one service: log-normal, with a share of requests that take longer by nature.
struct service_times {
    double median_ms = 20;
    double sigma = 0.5;
    double heavy_share = 0.01;
    double heavy_factor = 5;
    /// Multiplies all times: the service is slow as a whole.
    double slowdown = 1;
};

/// One upstream: slots, a first-in-first-out queue before them, a cold start and an injected fault.
/// It says what happens; the fleet model keeps the time.
class upstream_model {
public:
    using attempt_number = std::uint32_t;

    upstream_model(std::uint32_t slot_count, const service_times& service)
        : slots(slot_count), times(&service)
    {
    }

    void set_fault(upstream_fault kind, time_point now);
    /// Cold requests take up to five times as long, falling over eight seconds.
    void start_cold(time_point now) { this->cold_from = now; }

    /// Whether requests that run now do worse than at a sound upstream.
    bool is_faulty(time_point now) const;
    bool is_down(time_point now) const { return now < this->down_until; }

    /// The request arrives; it runs at once or waits.
    void push(attempt_number attempt) { this->queue.push_back(attempt); }

    /// Takes the next waiting request into a free slot.
    bool start_next(attempt_number& attempt);

    /// How long a request that starts now will run.
    duration draw_time(time_point now, random_engine& random) const;

    /// Whether a request that would complete now is held by the stall; it keeps its slot.
    bool holds() const { return this->fault == upstream_fault::stall; }
    void free_slot() { --this->running; }

    /// The process dies and is back two seconds later, cold; all it had is lost.
    void crash(time_point now);

    std::size_t waiting() const { return this->queue.size(); }

private:
    bool is_flap_bad(time_point now) const;

    std::uint32_t slots;
    const service_times* times;
    std::uint32_t running = 0;
    std::deque<attempt_number> queue;
    upstream_fault fault = upstream_fault::none;
    time_point fault_from;
    time_point cold_from;
    time_point down_until;
};

} // namespace dragonflyroad::bench
