#include "bench/model/router.hpp"

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t failures_to_eject = 5;
constexpr duration ejection_time = 30s;
constexpr std::uint32_t largest_attempts = 3;

class baseline_router : public router {
public:
    explicit baseline_router(std::size_t node) : next(node) {}

    void announce(std::size_t upstream, const upstream_announcement& announcement,
                  time_point now) override
    {
        static_cast<void>(now);
        if (this->known.size() <= upstream) {
            this->known.resize(upstream + 1);
        }
        this->known[upstream].is_ready = announcement.state == upstream_state::ready;
    }

    std::optional<routed> begin(std::uint32_t attempt, const model_request& request,
                                bool pool_is_empty, time_point now) override
    {
        static_cast<void>(attempt);
        static_cast<void>(request);
        for (std::size_t step = 0; step < this->known.size(); ++step) {
            const std::size_t upstream = this->next++ % this->known.size();
            if (this->known[upstream].is_ready && now >= this->known[upstream].out_until) {
                return routed{upstream, pool_is_empty};
            }
        }
        return std::nullopt;
    }

    void finish(std::uint32_t attempt, const model_request& request, std::size_t upstream,
                outcome_kind outcome, time_point now) override
    {
        static_cast<void>(attempt);
        static_cast<void>(request);
        state& seen = this->known[upstream];
        if (outcome == outcome_kind::success) {
            seen.failures = 0;
        }
        else if (++seen.failures >= failures_to_eject) {
            seen.out_until = now + ejection_time;
            seen.failures = 0;
        }
    }

    bool retries(const model_request& request, const failed_attempt& attempt,
                 time_point now) override
    {
        return attempt.failure != attempt_failure::answered &&
               request.attempts < largest_attempts && now < request.arrived + 10s;
    }

    crash_verdict ask_crash(const model_request& request, time_point now) override
    {
        static_cast<void>(request);
        static_cast<void>(now);
        return crash_verdict::allowed;
    }

    void tick(time_point now) override { this->ticked = now; }

    ejection_step step(std::size_t upstream) const override
    {
        return this->ticked < this->known[upstream].out_until ? ejection_step::ejected
                                                              : ejection_step::healthy;
    }

    fault_scope scope(std::size_t upstream) const override
    {
        return this->step(upstream) == ejection_step::ejected ? fault_scope::upstream
                                                              : fault_scope::none;
    }

    gossip tell(time_point now) const override
    {
        static_cast<void>(now);
        return {};
    }

    void hear(const gossip& news, time_point now) override
    {
        static_cast<void>(news);
        static_cast<void>(now);
    }

private:
    struct state {
        bool is_ready = true;
        std::uint32_t failures = 0;
        time_point out_until;
    };

    std::vector<state> known;
    std::size_t next;
    time_point ticked;
};

} // namespace

std::unique_ptr<router> make_baseline_router(std::size_t node)
{
    return std::make_unique<baseline_router>(node);
}

} // namespace dragonflyroad::bench
