#pragma once

#include "core/clock.hpp"

namespace dragonflyroad {

/// Largest relative error of a VM's clock rate that the limits tolerate. Refill is slowed by this
/// share, because a fast clock would otherwise admit requests above the organisation's rate.
constexpr double max_clock_drift = 0.001;

/// Token bucket. The caller passes rate (tokens per second) and burst, which change with the node's
/// share of the organisation's limits. Not synchronised.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double initial, time_point now) : tokens(initial), filled_at(now) {}

    /// Refills up to `now` and caps the tokens at `burst`. A time before the last refill only
    /// applies the cap.
    void refill(double rate, double burst, time_point now);

    /// Removes one token. Returns false if there is less than one.
    bool try_consume_token();

    /// Removes up to `wanted` tokens and returns the number removed.
    double withdraw(double wanted);

    /// Adds tokens that were withdrawn from another bucket, up to a total of `burst`.
    void deposit(double amount, double burst);

    double available() const { return this->tokens; }
    time_point last_refill() const { return this->filled_at; }

private:
    double tokens = 0;
    time_point filled_at{};
};

} // namespace dragonflyroad
