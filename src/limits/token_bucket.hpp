#pragma once

#include "core/clock.hpp"

namespace dragonflyroad {

/// Largest error of a VM's clock rate that the limits allow for. Refill is slowed by it, because a
/// clock that runs fast would otherwise admit above the organisation's rate.
constexpr double max_clock_drift = 0.001;

/// Tokens that refill at a rate up to a burst. The caller passes both on each call, since they are
/// the organisation's limits times a share that changes. Not synchronised.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double initial, time_point now) : tokens(initial), filled_at(now) {}

    /// Refills up to `now`. A time before the last refill changes nothing but the cap.
    void refill(double rate, double burst, time_point now);

    /// Takes one token if there is one.
    bool take();

    /// Takes up to `wanted` tokens and returns how many.
    double withdraw(double wanted);

    /// Adds tokens that were taken out of another bucket, up to `burst` in all.
    void deposit(double amount, double burst);

    double available() const { return this->tokens; }
    time_point last_refill() const { return this->filled_at; }

private:
    double tokens = 0;
    time_point filled_at{};
};

} // namespace dragonflyroad
