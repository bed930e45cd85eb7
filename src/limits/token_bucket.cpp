#include "limits/token_bucket.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflyroad {

void token_bucket::refill(double rate, double burst, time_point now)
{
    if (now > this->filled_at) {
        const std::chrono::duration<double> elapsed = now - this->filled_at;
        this->tokens += rate * elapsed.count() / (1 + max_clock_drift);
        this->filled_at = now;
    }
    this->tokens = std::min(this->tokens, burst);
}

bool token_bucket::try_consume_token()
{
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

double token_bucket::withdraw(double wanted)
{
    const double taken = std::clamp(wanted, 0.0, std::max(this->tokens, 0.0));
    this->tokens -= taken;
    return taken;
}

void token_bucket::deposit(double amount, double burst)
{
    this->tokens = std::min(this->tokens + amount, burst);
}

} // namespace dragonflyroad
