#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/waiting_requests.hpp"

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

/// Class and priorities of a request; within a class, lower values are served first. Calls that an
/// upstream makes while it runs a request are not new requests. They form a class of their own,
/// because their caller holds a slot until they end.
struct work_rank {
    bool is_new_request = true;
    int organisation_priority = 0;
    int route_priority = 0;

    auto operator<=>(const work_rank&) const = default;
};

/// A request queued for a slot of the upstream.
struct queued_request {
    queue_ticket ticket = 0;
    organisation_id organisation;
    work_rank rank;
    /// Latest start with which the answer is on time; see reserve_message::start_within.
    time_point latest_start;
    /// How long the request is expected to hold a slot.
    std::chrono::milliseconds expected_run{0};
    /// Latest start with which a late answer is still of use; none when not after `latest_start`.
    time_point latest_late_start{};
};

struct wait_estimate {
    std::chrono::milliseconds wait{0};
};

/// Queue for requests that arrive while all slots of one upstream are in use. Requests are reserved
/// at several upstreams and run at the first that offers a slot, so a queue empties faster than its
/// upstream serves requests; the wait is therefore estimated from the rate at which requests leave
/// the queue for any reason. A request that cannot start in time is declined at once instead of
/// failing later. A request that is expected to be late, but not too late to be of use, waits
/// behind those that can be on time.
///
/// Calls made by upstreams and new requests are two classes. While both are waiting, calls get most
/// of the slot time and new requests an eighth: declining a call wastes its caller's run, but an
/// upstream that receives many calls would otherwise serve no new requests. Within a class,
/// priorities are served in strict order, unless work of lower priority is pressing while the rest
/// has time, and requests of the same priority in the order of waiting_requests. Not synchronised.
class work_queue {
public:
    /// Sets the departure rate that is assumed until enough departures were seen and that later
    /// estimates do not go below: `slots` divided by `typical_run`. While both classes have work,
    /// each class has its share of that rate.
    void set_capacity(std::size_t slots, std::chrono::milliseconds typical_run);

    /// Adds work unless its estimated start is too late to be of use. If the queue of its rank is
    /// full, the newest work of the organisation with the most waiting work is removed without
    /// notice, which may be this work. Returns nothing when this work is declined.
    std::optional<wait_estimate> push(const queued_request& work, time_point now);

    /// Removes and returns the next work to serve.
    std::optional<queue_ticket> pop(time_point now);

    /// Removes work that is served elsewhere or whose caller has disconnected. False when it is not
    /// queued.
    bool remove(queue_ticket ticket, time_point now);

    /// Removes and returns work that can no longer start in time.
    std::vector<queue_ticket> expire(time_point now);

    /// The expected wait of work if it were added now and could still be on time.
    wait_estimate estimate(const queued_request& work, time_point now) const;

    /// Time until all that waits now has left the queue, to a slot or elsewhere.
    std::chrono::milliseconds drain_time(time_point now) const;

    std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        organisation_id organisation;
        work_rank rank;
        std::chrono::milliseconds expected_run{0};
    };

    /// One of the two classes: calls made by upstreams, or new requests.
    struct work_class {
        std::map<work_rank, waiting_requests> ranks;
        std::deque<time_point> departures;
        /// Arrivals that are expected to be on time.
        std::deque<time_point> on_time_arrivals;
        /// Slot time served, divided by the class's share of the slot time.
        double virtual_time = 0;
        double share = 1;

        bool is_empty() const;
        /// The queue to serve next: the first rank with waiting work, or a later one with a request
        /// that is pressing if that makes nothing of the earlier ranks late.
        waiting_requests* next_rank(time_point now);
        double departures_per_second(time_point now, double minimum_rate) const;
        double on_time_arrivals_per_second(time_point now) const;
    };

    work_class& class_of(const work_rank& rank)
    {
        return this->classes[rank.is_new_request ? 1 : 0];
    }
    const work_class& class_of(const work_rank& rank) const
    {
        return this->classes[rank.is_new_request ? 1 : 0];
    }
    /// The expected wait of work that is added behind everything of its rank.
    wait_estimate estimate_late(const work_rank& rank, time_point now) const;
    double departures_per_second(const work_rank& rank, time_point now) const;
    std::optional<queue_ticket> pop_from_class(work_class& source, time_point now);

    std::array<work_class, 2> classes{work_class{{}, {}, {}, 0, 0.875},
                                      work_class{{}, {}, {}, 0, 0.125}};
    std::unordered_map<queue_ticket, entry> entries;
    double base_rate = 1;
};

} // namespace dragonflyroad
