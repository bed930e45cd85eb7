#pragma once

#include "core/clock.hpp"
#include "core/retry_backoff.hpp"
#include "mesh/shared_store.hpp"

#include <chrono>
#include <functional>

namespace dragonflyroad {

/// One lease of this node in the store. While it is wanted it is requested, renewed three times per
/// time to live, and requested again after it has ended. It is valid only while that is certain,
/// measured by a clock that counts suspended time. Not synchronised.
class held_lease {
public:
    struct callbacks {
        /// A new lease was granted; nothing is attached to it yet.
        std::function<void()> granted;
        /// The lease has ended, and the store has removed what was attached to it.
        std::function<void()> lost;
    };

    held_lease(shared_store& platform_store, std::chrono::milliseconds time_to_live,
               callbacks functions);

    /// An unwanted lease is not renewed any more and expires.
    void set_wanted(bool wanted) { this->is_wanted = wanted; }

    /// Makes the calls that are due.
    void maintain(time_point now);
    /// Handles a reply of the store that the lease has ended.
    void on_ended();
    /// Ends the lease in the store.
    void end();
    /// Forgets the lease of an ended era, which the store may have lost and whose number it may
    /// have given to another node. The next one is requested from `request_at` on.
    void begin_era(time_point request_at);

    /// The lease, 0 while there is none.
    store_lease id() const { return this->lease; }
    bool is_valid(time_point now) const { return this->lease != 0 && now < this->valid_until; }
    /// The time up to which the lease is certain to last.
    time_point certain_until() const { return this->valid_until; }

private:
    void request();
    void renew();
    void on_renewed(lease_outcome outcome, time_point sent_at);

    shared_store& store;
    callbacks handlers;
    std::chrono::milliseconds requested_time;
    std::chrono::milliseconds granted_time{0};
    retry_backoff retry;
    store_lease lease = 0;
    time_point valid_until{};
    time_point next_call{};
    bool is_wanted = false;
    bool is_call_open = false;
};

} // namespace dragonflyroad
