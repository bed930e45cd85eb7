#pragma once

#include "node/gates.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dragonflyroad {

/// An upstream as announced to this node.
struct announced_upstream {
    upstream_id id;
    service_name service;
    std::uint32_t slots = 1;
    bool draining = false;
};

/// Gates that decide from this process alone, for tests of the request path and until the decision
/// modules are joined to it.

class always_current : public freshness_gate {
public:
    proof_state state(time_point) override { return proof_state::current; }
};

class local_rates : public rate_gate {
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

class no_crashes : public crash_gate {
public:
    bool is_blocked(std::uint64_t, time_point) override { return false; }
    void note(std::uint64_t, const upstream_id&, time_point) override {}
};

class local_claims : public claim_gate {
public:
    claim_verdict claim(const claim_key& key, std::chrono::milliseconds repeat_window,
                        time_point deadline) override;
    void complete(const claim_key& key, ran executed) override;

private:
    std::mutex mutex;
    std::map<std::string, claim_verdict> claims;
};

/// Picks the announced upstream with the fewest requests in flight; waits for a free slot.
class local_upstreams : public upstream_gate {
public:
    void set_upstreams(const std::vector<announced_upstream>& announced);
    std::optional<upstream_place> acquire(const place_request& request,
                                          refusal_reason& why) override;
    void first_byte(const upstream_place&) override {}
    void finish(const upstream_place& place, attempt_outcome outcome, bool reused) override;

private:
    struct entry {
        announced_upstream announced;
        std::uint32_t in_flight = 0;
    };
    entry* choose(const place_request& request, bool& any_usable);

    std::mutex mutex;
    std::condition_variable freed;
    std::map<upstream_id, entry> entries;
};

class unlimited_retries : public retry_gate {
public:
    void note_request(const service_name&, time_point) override {}
    bool may_retry(const service_name&, const profile&, retry_reason, time_point) override
    {
        return true;
    }
};

} // namespace dragonflyroad
