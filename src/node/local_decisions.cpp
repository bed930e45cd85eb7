#include "node/local_decisions.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

std::string text_of(const claim_subject& key)
{
    return key.organisation.value + '\n' + key.service.value + '\n' + key.key;
}

} // namespace

rate_verdict local_rate_limiter::admit(const organisation& limits, time_point)
{
    const time_point now = boot_clock::now();
    const std::scoped_lock lock{this->mutex};
    auto [found, is_new] = this->buckets.try_emplace(limits.id, bucket{limits.burst, now});
    bucket& tokens = found->second;
    const double elapsed = std::chrono::duration<double>(now - tokens.filled).count();
    tokens.tokens = std::min(limits.burst, tokens.tokens + elapsed * limits.rate);
    tokens.filled = now;
    if (tokens.tokens < 1) {
        return rate_verdict::over_rate;
    }
    tokens.tokens -= 1;
    return rate_verdict::admitted;
}

claim_decision local_idempotency_claims::claim(claim_subject& key, std::chrono::milliseconds,
                                               time_point)
{
    const std::scoped_lock lock{this->mutex};
    const auto [found, is_new] =
        this->claims.try_emplace(text_of(key), claim_decision::in_progress);
    return is_new ? claim_decision::granted : found->second;
}

void local_idempotency_claims::complete(const claim_subject& key, ran executed)
{
    const std::scoped_lock lock{this->mutex};
    if (executed == ran::no) {
        this->claims.erase(text_of(key));
        return;
    }
    this->claims[text_of(key)] =
        executed == ran::yes ? claim_decision::done : claim_decision::unknown;
}

} // namespace dragonflyroad
