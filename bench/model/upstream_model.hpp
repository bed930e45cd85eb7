#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace dragonflyroad::bench {

enum class upstream_fault {
    none,
    /// Accepts requests and never responds.
    stall,
    /// Every request takes ten times as long.
    slow,
    /// One request in four takes ten times as long.
    slow_share,
    /// Alternates between slow and healthy every three seconds; starts slow.
    flap,
};

/// Service times of one service: log-normal, with a share of requests that are inherently slower.
struct service_times {
    double median_ms = 20;
    double sigma = 0.5;
    double heavy_share = 0.01;
    double heavy_factor = 5;
    /// Multiplies all times; models a service that is slow on all upstreams.
    double slowdown = 1;
};

/// One upstream: slots with a first-in-first-out queue, a cold start and an injected fault. It
/// holds the state only; the fleet model schedules the events.
class upstream_model {
public:
    using attempt_number = std::uint32_t;

    upstream_model(std::uint32_t slot_count, const service_times& service)
        : slots(slot_count), times(&service)
    {
    }

    void set_fault(upstream_fault kind, time_point now);
    /// Starts a cold phase: requests take five times as long, falling to normal within eight
    /// seconds.
    void start_cold(time_point now) { this->cold_since = now; }

    /// Whether the upstream is down or has an injected fault. A flapping upstream is faulty in its
    /// healthy phases as well.
    bool is_faulty(time_point now) const;
    bool is_down(time_point now) const { return now < this->down_until; }

    /// Adds an arriving request to the queue; start_queued() moves it into a slot.
    void enqueue(attempt_number attempt) { this->queue.push_back(attempt); }

    /// Moves the next queued request into a free slot; returns false if no request is queued or no
    /// slot is free.
    bool start_queued(attempt_number& attempt);

    /// Draws the service time of a request that starts now.
    duration draw_service_time(time_point now, random_engine& random) const;

    /// Whether a stall fault prevents requests from completing; stalled requests keep their slots.
    bool is_stalled() const { return this->fault == upstream_fault::stall; }
    void free_slot() { --this->running; }

    /// The process crashes and loses all its requests; it restarts cold two seconds later.
    void crash(time_point now);

    std::size_t queued_count() const { return this->queue.size(); }

private:
    bool is_flap_slow(time_point now) const;

    std::uint32_t slots;
    const service_times* times;
    std::uint32_t running = 0;
    std::deque<attempt_number> queue;
    upstream_fault fault = upstream_fault::none;
    time_point fault_since;
    time_point cold_since;
    time_point down_until;
};

} // namespace dragonflyroad::bench
