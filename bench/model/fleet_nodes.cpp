#include "bench/model/fleet_model.hpp"

#include <algorithm>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr duration tick_period = 50ms;
constexpr duration gossip_period = 500ms;
constexpr duration queue_timeout = 1s;
constexpr std::size_t gossip_peers = 3;
constexpr std::uint32_t pooled_connections = 4;

attempt_failure to_failure(outcome_kind outcome)
{
    switch (outcome) {
    case outcome_kind::connect_failed:
        return attempt_failure::connect_failed;
    case outcome_kind::timed_out:
    case outcome_kind::stale_connection:
        return attempt_failure::timed_out;
    case outcome_kind::shed:
        return attempt_failure::not_run;
    default:
        return attempt_failure::broken;
    }
}

} // namespace

void fleet_model::crash_upstream(std::size_t number)
{
    ++this->counts.crashes;
    this->upstreams[number].crash(this->now);
    ++this->incarnations[number];
    this->stalled_attempts[number].clear();
    this->faulty_until[number] = this->now + 3s;
    std::vector<std::uint32_t> lost_attempts(this->attempts_at_upstream[number].begin(),
                                             this->attempts_at_upstream[number].end());
    std::sort(lost_attempts.begin(), lost_attempts.end());
    this->attempts_at_upstream[number].clear();
    for (const std::uint32_t attempt : lost_attempts) {
        this->schedule_event(this->now + this->draw_link_delay(), step_kind::reply, attempt,
                             outcome_kind::broken);
    }
}

void fleet_model::receive_reply(std::uint32_t number, outcome_kind outcome)
{
    attempt_state& attempt = this->attempts[number];
    if (attempt.is_finished) {
        return;
    }
    if (outcome != outcome_kind::success) {
        this->fail_attempt(number, outcome);
        return;
    }
    attempt.is_finished = true;
    const model_request& request = this->requests[attempt.request];
    node_state& node = this->nodes[request.node];
    node.decisions->finish_attempt(number, request, attempt.upstream, outcome, this->now);
    ++this->counts.answered;
    this->counts.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(this->now - request.arrived).count());
    this->start_queued_requests(node);
}

void fleet_model::fail_attempt(std::uint32_t number, outcome_kind outcome)
{
    attempt_state& attempt = this->attempts[number];
    attempt.is_finished = true;
    const std::uint32_t request_number = attempt.request;
    model_request& request = this->requests[request_number];
    node_state& node = this->nodes[request.node];
    node.decisions->finish_attempt(number, request, attempt.upstream, outcome, this->now);
    const failed_attempt failed{to_failure(outcome), outcome != outcome_kind::connect_failed,
                                false};
    request.has_run = to_ran(request.has_run, failed);
    if (node.decisions->should_retry(request, failed, this->now)) {
        if (!this->try_start_attempt(request_number)) {
            node.waiting.push_back(request_number);
        }
    }
    else {
        this->refuse_request(request_number, request.has_run);
    }
    this->start_queued_requests(node);
}

void fleet_model::start_queued_requests(node_state& node)
{
    while (!node.waiting.empty()) {
        const std::uint32_t number = node.waiting.front();
        if (this->requests[number].arrived + queue_timeout < this->now &&
            this->requests[number].attempts == 0) {
            node.waiting.pop_front();
            this->refuse_request(number, ran::no);
            continue;
        }
        if (!this->try_start_attempt(number)) {
            return;
        }
        node.waiting.pop_front();
    }
}

void fleet_model::run_tick(std::size_t number, const observer& observe)
{
    node_state& node = this->nodes[number];
    while (!node.outstanding.empty()) {
        const std::uint32_t front = node.outstanding.front();
        const attempt_state& attempt = this->attempts[front];
        if (!attempt.is_finished && attempt.deadline > this->now) {
            break;
        }
        node.outstanding.pop_front();
        if (!attempt.is_finished) {
            // A time-out on a pooled connection is verified on a fresh one; if that works, the
            // pooled connection was stale.
            const bool is_reachable = !attempt.is_fresh && !this->is_faulty(attempt.upstream) &&
                                      !this->is_partitioned(number, attempt.upstream);
            // The upstream accepts the cancellation, so a stalled request frees its slot.
            auto& stalled_here = this->stalled_attempts[attempt.upstream];
            const auto found = std::find(stalled_here.begin(), stalled_here.end(), front);
            if (found != stalled_here.end()) {
                stalled_here.erase(found);
                this->attempts_at_upstream[attempt.upstream].erase(front);
                this->upstreams[attempt.upstream].free_slot();
                this->start_queued_attempts(attempt.upstream);
            }
            this->fail_attempt(front, is_reachable ? outcome_kind::stale_connection
                                                   : outcome_kind::timed_out);
        }
    }
    node.decisions->tick(this->now);
    this->start_queued_requests(node);
    observe(*this, number, this->now);
    this->schedule_event(this->now + tick_period, step_kind::tick,
                         static_cast<std::uint32_t>(number));
}

gossip_message fleet_model::make_gossip(std::size_t number) const
{
    const node_state& node = this->nodes[number];
    gossip_message message = node.decisions->make_gossip(this->now);
    if (node.rumour) {
        message.evidence.push_back({node_id{"node-" + std::to_string(number)}, model_service(),
                                    model_upstream_id(*node.rumour), 30, 0, ejection_step::ejected,
                                    this->now});
    }
    return message;
}

// Exchanges gossip with some peers in both directions. Transit times are far below the period, so
// the model ignores them.
void fleet_model::exchange_gossip(std::size_t number)
{
    for (std::size_t count = 0; count < std::min(gossip_peers, this->nodes.size() - 1); ++count) {
        const std::size_t peer =
            (number + 1 + uniform_index(this->random, this->nodes.size() - 1)) % this->nodes.size();
        this->nodes[peer].decisions->receive_gossip(this->make_gossip(number), this->now);
        this->nodes[number].decisions->receive_gossip(this->make_gossip(peer), this->now);
    }
    this->schedule_event(this->now + gossip_period, step_kind::gossip,
                         static_cast<std::uint32_t>(number));
}

void fleet_model::announce(std::size_t upstream, upstream_state state)
{
    this->announced[upstream] = state == upstream_state::ready;
    for (node_state& node : this->nodes) {
        node.decisions->announce(upstream,
                                 {model_upstream_id(upstream), model_service(),
                                  this->plan.shape.slots, state,
                                  this->now == start() ? duration{60s} : duration::zero()},
                                 this->now);
    }
}

void fleet_model::apply_event(const scheduled_event& change)
{
    using kind = scheduled_event::kind;
    switch (change.what) {
    case kind::fault: {
        this->faulty_until[change.upstream] = this->now + 1s;
        this->healthy_since[change.upstream] = this->now;
        this->upstreams[change.upstream].set_fault(change.fault, this->now);
        for (const std::uint32_t attempt :
             std::exchange(this->stalled_attempts[change.upstream], {})) {
            this->schedule_event(this->now, step_kind::complete, attempt);
        }
        break;
    }
    case kind::restart:
        this->announce(change.upstream, upstream_state::draining);
        this->plan.schedule.push_back(
            {this->now + 1s, kind::join, change.upstream, 0, 1, upstream_fault::none});
        this->schedule_event(this->now + 1s, step_kind::schedule,
                             static_cast<std::uint32_t>(this->plan.schedule.size() - 1));
        break;
    case kind::join:
        this->upstreams[change.upstream].start_cold(this->now);
        this->announce(change.upstream, upstream_state::ready);
        break;
    case kind::expire:
        this->announce(change.upstream, upstream_state::expired);
        break;
    case kind::slowdown:
        this->plan.times.slowdown = change.value;
        break;
    case kind::load:
        this->load_factor = change.value;
        break;
    case kind::drop_responses:
        this->network_cut_between(change.node, change.upstream).deaf = true;
        break;
    case kind::drop_requests:
        this->network_cut_between(change.node, change.upstream).mute = true;
        break;
    case kind::hang_pooled_connections:
        for (node_state& node : this->nodes) {
            node.hung_connections[change.upstream] = pooled_connections;
        }
        break;
    case kind::crashing_request:
        this->schedule_event(this->now, step_kind::crashing_arrival, 0);
        break;
    case kind::false_evidence:
        this->nodes[change.node].rumour = change.upstream;
        break;
    }
}

} // namespace dragonflyroad::bench
