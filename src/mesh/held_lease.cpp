#include "mesh/held_lease.hpp"

#include "adapters/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

/// Number of renewals per time to live. Two in a row may fail.
constexpr int renewals_per_lease = 3;

/// This node treats the lease as expired this much before the store does.
constexpr milliseconds validity_margin{300};

/// Retry backoff of failed calls. It is short enough that what an expired lease removed is written
/// again within two seconds after the store becomes available.
constexpr milliseconds first_retry_pause{250};
constexpr milliseconds longest_retry_pause{1'000};

} // namespace

held_lease::held_lease(shared_store& platform_store, milliseconds time_to_live, callbacks functions)
    : store(platform_store),
      handlers(std::move(functions)),
      requested_time(time_to_live),
      retry(first_retry_pause, longest_retry_pause)
{
}

void held_lease::maintain(time_point now)
{
    if (this->is_call_open || now < this->next_call || !this->is_wanted) {
        return;
    }
    if (this->lease == 0) {
        this->request();
    }
    else {
        this->renew();
    }
}

void held_lease::request()
{
    this->is_call_open = true;
    const time_point sent_at = boot_clock::now();
    this->store.grant_lease(
        this->requested_time, [this, sent_at](std::optional<lease_grant> granted) {
            this->is_call_open = false;
            if (!granted) {
                this->retry.record_failure(boot_clock::now());
                this->next_call = this->retry.next();
                return;
            }
            this->retry.record_success();
            this->lease = granted->lease;
            // A longer time is not used: group_tenure relies on the requested one as a bound.
            this->granted_time = std::min(granted->time_to_live, this->requested_time);
            this->valid_until = sent_at + this->granted_time - validity_margin;
            this->next_call = sent_at + this->granted_time / renewals_per_lease;
            this->handlers.granted();
        });
}

void held_lease::renew()
{
    this->is_call_open = true;
    const time_point sent_at = boot_clock::now();
    const store_lease renewed = this->lease;
    this->store.renew_lease(renewed, [this, sent_at, renewed](lease_outcome outcome) {
        this->is_call_open = false;
        if (renewed == this->lease) {
            this->on_renewed(outcome, sent_at);
        }
    });
}

void held_lease::on_renewed(lease_outcome outcome, time_point sent_at)
{
    if (outcome == lease_outcome::ended) {
        this->on_ended();
        return;
    }
    if (outcome == lease_outcome::unknown) {
        this->retry.record_failure(boot_clock::now());
        this->next_call = this->retry.next();
        return;
    }
    this->retry.record_success();
    this->valid_until = sent_at + this->granted_time - validity_margin;
    this->next_call = sent_at + this->granted_time / renewals_per_lease;
}

void held_lease::on_ended()
{
    log_line{"lease_ended"}.add("lease", this->lease);
    this->lease = 0;
    this->valid_until = {};
    this->next_call = {};
    this->handlers.lost();
    this->maintain(boot_clock::now());
}

void held_lease::begin_era(time_point request_at)
{
    this->lease = 0;
    this->valid_until = {};
    this->next_call = request_at;
}

void held_lease::end()
{
    this->is_wanted = false;
    if (const store_lease ended = std::exchange(this->lease, 0); ended != 0) {
        this->store.end_lease(ended);
    }
}

} // namespace dragonflyroad
