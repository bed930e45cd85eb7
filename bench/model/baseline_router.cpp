#include "bench/model/router.hpp"

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t failures_to_eject = 5;
constexpr duration ejection_time = 30s;
constexpr std::uint32_t attempt_limit = 3;

class baseline_router : public router {
public:
    explicit baseline_router(std::size_t node) : next(node) {}

    void announce(std::size_t upstream, const upstream_announcement& announcement,
                  time_point now) override
    {
        static_cast<void>(now);
        if (this->upstreams.size() <= upstream) {
            this->upstreams.resize(upstream + 1);
        }
        this->upstreams[upstream].is_ready = announcement.state == upstream_state::ready;
    }

    std::optional<routing_choice> start_attempt(std::uint32_t attempt, const model_request& request,
                                                bool pool_is_empty, time_point now) override
    {
        static_cast<void>(attempt);
        static_cast<void>(request);
        for (std::size_t step = 0; step < this->upstreams.size(); ++step) {
            const std::size_t upstream = this->next++ % this->upstreams.size();
            if (this->upstreams[upstream].is_ready &&
                now >= this->upstreams[upstream].ejected_until) {
                return routing_choice{upstream, pool_is_empty};
            }
        }
        return std::nullopt;
    }

    void finish_attempt(std::uint32_t attempt, const model_request& request, std::size_t upstream,
                        outcome_kind outcome, time_point now) override
    {
        static_cast<void>(attempt);
        static_cast<void>(request);
        upstream_status& status = this->upstreams[upstream];
        if (outcome == outcome_kind::success) {
            status.failures = 0;
        }
        else if (++status.failures >= failures_to_eject) {
            status.ejected_until = now + ejection_time;
            status.failures = 0;
        }
    }

    bool should_retry(const model_request& request, const failed_attempt& attempt,
                      time_point now) override
    {
        return attempt.failure != attempt_failure::answered && request.attempts < attempt_limit &&
               now < request.arrived + 10s;
    }

    crash_verdict check_crash_suspect(const model_request& request, time_point now) override
    {
        static_cast<void>(request);
        static_cast<void>(now);
        return crash_verdict::allowed;
    }

    void tick(time_point now) override { this->last_tick_at = now; }

    ejection_step step(std::size_t upstream) const override
    {
        return this->last_tick_at < this->upstreams[upstream].ejected_until
                   ? ejection_step::ejected
                   : ejection_step::healthy;
    }

    fault_scope scope(std::size_t upstream) const override
    {
        return this->step(upstream) == ejection_step::ejected ? fault_scope::upstream
                                                              : fault_scope::none;
    }

    gossip_message make_gossip(time_point now) const override
    {
        static_cast<void>(now);
        return {};
    }

    void receive_gossip(const gossip_message& received, time_point now) override
    {
        static_cast<void>(received);
        static_cast<void>(now);
    }

private:
    struct upstream_status {
        bool is_ready = true;
        std::uint32_t failures = 0;
        time_point ejected_until;
    };

    std::vector<upstream_status> upstreams;
    std::size_t next;
    time_point last_tick_at;
};

} // namespace

std::unique_ptr<router> make_baseline_router(std::size_t node)
{
    return std::make_unique<baseline_router>(node);
}

} // namespace dragonflyroad::bench
