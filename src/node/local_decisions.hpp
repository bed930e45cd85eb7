#pragma once

#include "node/decision_interfaces.hpp"

#include <map>
#include <mutex>
#include <unordered_map>

namespace dragonflyroad {

/// An upstream as announced to a node.
struct announced_upstream {
    upstream_id id;
    service_name service;
    std::uint32_t slots = 1;
    bool draining = false;
};

/// Rate limiter with local token buckets, for tests of the request path.
class local_rate_limiter : public rate_limiter {
public:
    rate_verdict admit(const organisation& limits, time_point deadline) override;

private:
    struct bucket {
        double tokens = 0;
        time_point filled;
    };
    std::mutex mutex;
    std::unordered_map<organisation_id, bucket> buckets;
};

/// Claims kept in this process without expiry, for tests of a node without a seat.
class local_idempotency_claims : public idempotency_claims {
public:
    claim_decision claim(claim_subject& key, std::chrono::milliseconds repeat_window,
                         time_point deadline) override;
    void complete(const claim_subject& key, ran executed) override;

private:
    std::mutex mutex;
    std::map<std::string, claim_decision> claims;
};

} // namespace dragonflyroad
