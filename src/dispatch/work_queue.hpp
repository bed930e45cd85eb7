#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "limits/fair_queue.hpp"

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// The order in which work is served; lower values first. Calls that an upstream makes while it
/// runs a request are apart from new requests: their caller holds a slot until they end.
struct work_rank {
    bool is_new_request = true;
    int organisation_priority = 0;
    int route_priority = 0;

    auto operator<=>(const work_rank&) const = default;
};

/// A request that waits for a slot of the upstream.
struct waiting_work {
    queue_ticket ticket = 0;
    organisation_id organisation;
    work_rank rank;
    /// Latest time at which starting it still gives an answer within the latency objective.
    time_point start_by;
    /// How long it is expected to hold a slot.
    std::chrono::milliseconds expected_run{0};
};

/// How much wait an upstream's queue promises.
struct wait_estimate {
    std::chrono::milliseconds wait{0};
};

/// The work that waits beside one upstream, for load above its slots. Requests are reserved at
/// several upstreams and run at the first that offers a slot, so a queue empties faster than its
/// upstream works; the wait is therefore estimated from the rate at which requests leave the queue
/// for any reason. A request that could not start in time is declined at once instead of failing
/// later.
///
/// While both wait, calls of upstreams get most of the slots' time and new requests an eighth: a
/// call that is turned away wastes its caller's run, but an upstream that is called a lot would
/// otherwise serve no request of its own. Within these, priorities are served strictly in order and
/// organisations of one priority by fair queueing. Not synchronised.
class work_queue {
public:
    /// `slots` and `typical_run` give the rate until enough departures were seen.
    void set_capacity(std::size_t slots, std::chrono::milliseconds typical_run);

    /// Adds work unless its estimated start is after `start_by`; nothing means declined.
    std::optional<wait_estimate> push(const waiting_work& work, time_point now);

    /// Takes the next work to serve.
    std::optional<queue_ticket> pop(time_point now);

    /// Withdraws work that is served elsewhere or whose caller has gone.
    bool remove(queue_ticket ticket, time_point now);

    /// Removes and returns work that can no longer start in time.
    std::vector<queue_ticket> expire(time_point now);

    /// The wait of work of this rank and organisation if it were added now.
    wait_estimate estimate(const work_rank& rank, const organisation_id& organisation,
                           time_point now) const;

    std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        organisation_id organisation;
        work_rank rank;
        std::chrono::milliseconds expected_run{0};
    };

    /// Calls or new requests.
    struct lane {
        std::map<work_rank, fair_queue> ranks;
        std::deque<time_point> departures;
        /// Slot time served, divided by the lane's share.
        double virtual_time = 0;
        double share = 1;

        bool is_empty() const;
        void note_departure(time_point now);
        double departures_per_second(time_point now, double base_rate) const;
    };

    lane& lane_of(const work_rank& rank) { return this->lanes[rank.is_new_request ? 1 : 0]; }
    const lane& lane_of(const work_rank& rank) const
    {
        return this->lanes[rank.is_new_request ? 1 : 0];
    }
    std::optional<queue_ticket> pop_from(lane& source, time_point now);

    std::array<lane, 2> lanes{lane{{}, {}, 0, 0.875}, lane{{}, {}, 0, 0.125}};
    std::unordered_map<queue_ticket, entry> entries;
    double base_rate = 1;
};

} // namespace dragonflyroad
