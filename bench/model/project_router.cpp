#include "bench/model/router.hpp"
#include "routing/picker.hpp"

#include <fmt/core.h>
#include <unordered_map>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr double retry_ratio = 0.1;

class project_router : public router {
public:
    project_router(std::size_t node, std::size_t node_count, double floor, std::uint64_t seed)
        : ejections(node_id{fmt::format("node-{}", node)}), random(seed)
    {
        this->floors[model_service()] = floor;
        this->ejections.set_reachable_peers(node_count - 1);
    }

    void announce(std::size_t upstream, const upstream_announcement& announcement,
                  time_point now) override
    {
        this->upstream_numbers[announcement.upstream] = upstream;
        this->set.apply(announcement, now);
    }

    std::optional<routing_choice> start_attempt(std::uint32_t attempt, const model_request& request,
                                                bool pool_is_empty, time_point now) override
    {
        const auto view = this->set.view(model_service());
        const auto upstream =
            pick(*view, {request.tried, request.is_repeatable}, this->random, now);
        if (!upstream) {
            return std::nullopt;
        }
        const bool is_fresh = pool_is_empty || upstream->needs_fresh_connection.load();
        const auto started = upstream_set::begin(
            upstream, {request.fingerprint, request.organisation, !is_fresh, request.is_repeatable},
            now);
        if (!started) {
            return std::nullopt;
        }
        if (request.attempts == 0) {
            this->budget(request).record_first_attempt(retry_ratio);
        }
        this->exchanges[attempt] = *started;
        return routing_choice{this->upstream_numbers.at(upstream->id), is_fresh};
    }

    void finish_attempt(std::uint32_t attempt, const model_request& request, std::size_t upstream,
                        outcome_kind outcome, time_point now) override
    {
        const upstream_id id = model_upstream_id(upstream);
        if (outcome == outcome_kind::broken) {
            if (this->crashes.is_suspect(request.fingerprint, id, now)) {
                outcome = outcome_kind::request_fault;
            }
            this->crashes.record_crash(request.fingerprint, id, now);
        }
        else if (request.is_trial && outcome == outcome_kind::success) {
            this->crashes.record_trial_success(request.fingerprint, now);
        }
        const auto found = this->exchanges.find(attempt);
        upstream_set::finish(found->second, outcome, now);
        this->exchanges.erase(found);
    }

    bool should_retry(const model_request& request, const failed_attempt& attempt,
                      time_point now) override
    {
        const retry_limits limits{request.is_repeatable, 3, request.arrived + 10s};
        return may_retry(limits, request.attempts, attempt, this->budget(request), now).has_value();
    }

    crash_verdict check_crash_suspect(const model_request& request, time_point now) override
    {
        return this->crashes.check_fingerprint(request.fingerprint, now);
    }

    void tick(time_point now) override { this->ejections.tick(this->set, this->floors, now); }

    ejection_step step(std::size_t upstream) const override
    {
        const auto status = this->ejections.status(model_service(), model_upstream_id(upstream));
        return status ? status->step : ejection_step::healthy;
    }

    fault_scope scope(std::size_t upstream) const override
    {
        const auto status = this->ejections.status(model_service(), model_upstream_id(upstream));
        return status ? status->scope : fault_scope::none;
    }

    gossip_message make_gossip(time_point now) const override
    {
        return {this->ejections.evidence_to_gossip(now), this->crashes.recent(8, now)};
    }

    void receive_gossip(const gossip_message& received, time_point now) override
    {
        for (const ejection_evidence& evidence : received.evidence) {
            this->ejections.accept_evidence(evidence, now);
        }
        this->crashes.merge(received.crashes, now);
    }

private:
    retry_budget& budget(const model_request& request)
    {
        return this->budgets[request.organisation];
    }

    upstream_set set;
    ejection_controller ejections;
    crash_log crashes;
    random_engine random;
    std::unordered_map<service_name, double> floors;
    std::unordered_map<upstream_id, std::size_t> upstream_numbers;
    std::unordered_map<std::uint32_t, exchange> exchanges;
    std::unordered_map<std::uint64_t, retry_budget> budgets;
};

} // namespace

const service_name& model_service()
{
    static const service_name name{"service"};
    return name;
}

upstream_id model_upstream_id(std::size_t upstream)
{
    return upstream_id{fmt::format("10.0.{}.{}:8080", upstream / 250, upstream % 250 + 1)};
}

std::unique_ptr<router> make_project_router(std::size_t node, std::size_t node_count, double floor,
                                            std::uint64_t seed)
{
    return std::make_unique<project_router>(node, node_count, floor, seed);
}

} // namespace dragonflyroad::bench
