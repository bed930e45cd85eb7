#include "bench/model/fleet_model.hpp"

#include "core/digest.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr duration tick_period = 50ms;
constexpr duration gossip_period = 500ms;
constexpr duration idle_timeout = 5s;
constexpr duration connect_time = 1ms;
constexpr std::uint64_t organisations = 8;
constexpr std::uint64_t crashing_fingerprint = 0xdeadU;
constexpr std::uint64_t distinct_requests = 400;

std::uint64_t hash_value(std::uint64_t value)
{
    return stable_hash({reinterpret_cast<const char*>(&value), sizeof(value)});
}

} // namespace

fleet_model::fleet_model(const scenario& initial)
    : plan(initial), random(initial.seed * 7919 + 17), end(start() + initial.length)
{
    const std::size_t count = this->plan.shape.upstreams;
    this->upstreams.assign(count, upstream_model(this->plan.shape.slots, this->plan.times));
    this->incarnations.assign(count, 0);
    this->announced.assign(count, true);
    this->faulty_until.assign(count, time_point{});
    this->healthy_since.assign(count, time_point{});
    this->stalled_attempts.resize(count);
    this->attempts_at_upstream.resize(count);
    this->cuts.resize(this->plan.nodes * count);
    for (std::size_t node = 0; node < this->plan.nodes; ++node) {
        node_state state;
        state.decisions =
            this->plan.is_baseline
                ? make_baseline_router(node)
                : make_project_router(node, this->plan.nodes, this->plan.floor, this->random());
        state.hung_connections.assign(count, 0);
        this->nodes.push_back(std::move(state));
        this->schedule_event(this->now + (tick_period * static_cast<int>(node)) /
                                             static_cast<int>(this->plan.nodes),
                             step_kind::tick, static_cast<std::uint32_t>(node));
        this->schedule_event(
            this->now + duration{static_cast<std::int64_t>(
                            uniform(this->random) * static_cast<double>(gossip_period.count()))},
            step_kind::gossip, static_cast<std::uint32_t>(node));
    }
    for (std::size_t upstream = 0; upstream < count; ++upstream) {
        const bool joins_later = std::any_of(
            this->plan.schedule.begin(), this->plan.schedule.end(), [&](const auto& entry) {
                return entry.what == scheduled_event::kind::join && entry.upstream == upstream;
            });
        this->announced[upstream] = !joins_later;
        if (!joins_later) {
            this->announce(upstream, upstream_state::ready);
        }
    }
    for (std::uint32_t index = 0; index < this->plan.schedule.size(); ++index) {
        this->schedule_event(this->plan.schedule[index].at, step_kind::schedule, index);
    }
    this->schedule_event(this->now, step_kind::arrive, 0);
}

void fleet_model::schedule_event(time_point at, step_kind kind, std::uint32_t subject,
                                 outcome_kind outcome)
{
    this->events.push({at, this->next_event_order++, kind, subject, outcome});
}

duration fleet_model::draw_link_delay()
{
    // One message in three stays within the node's own data centre.
    const bool is_near = uniform_index(this->random, 3) == 0;
    return is_near ? duration{200us} : this->plan.shape.link_delay;
}

run_counts fleet_model::run(const observer& observe)
{
    while (!this->events.empty() && this->events.top().at < this->end) {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        this->handle_event(next, observe);
    }
    return std::move(this->counts);
}

void fleet_model::handle_event(const event& next, const observer& observe)
{
    switch (next.kind) {
    case step_kind::arrive:
        this->add_arrival();
        break;
    case step_kind::crashing_arrival: {
        model_request request;
        request.fingerprint = crashing_fingerprint;
        request.crashes = true;
        request.arrived = this->now;
        request.node = static_cast<std::uint32_t>(uniform_index(this->random, this->nodes.size()));
        this->requests.push_back(request);
        this->admit_request(static_cast<std::uint32_t>(this->requests.size() - 1));
        this->schedule_event(this->now + 200ms, step_kind::crashing_arrival, 0);
        break;
    }
    case step_kind::deliver:
        this->deliver_attempt(next.subject);
        break;
    case step_kind::complete:
        this->complete_run(next.subject);
        break;
    case step_kind::reply:
        this->receive_reply(next.subject, next.outcome);
        break;
    case step_kind::tick:
        this->run_tick(next.subject, observe);
        break;
    case step_kind::gossip:
        this->exchange_gossip(next.subject);
        break;
    case step_kind::schedule:
        this->apply_event(this->plan.schedule[next.subject]);
        break;
    }
}

void fleet_model::add_arrival()
{
    const double slots = static_cast<double>(this->plan.shape.upstreams * this->plan.shape.slots);
    const service_times& times = this->plan.times;
    const double mean_ms = times.median_ms * std::exp(times.sigma * times.sigma / 2) *
                           (1 + times.heavy_share * (times.heavy_factor - 1));
    const double rate = this->plan.load * slots / (mean_ms / 1000);
    // Two of the eight organisations send 30% of the requests each; the surplus of a burst comes
    // from the first one.
    const double ordinary = uniform(this->random) * this->load_factor;
    const double draw = ordinary < 1 ? uniform(this->random) : 0;
    model_request request;
    request.organisation =
        hash_value(draw < 0.3   ? 0
                   : draw < 0.6 ? 1
                                : 2 + uniform_index(this->random, organisations - 2));
    request.fingerprint =
        hash_value(request.organisation + uniform_index(this->random, distinct_requests));
    request.is_repeatable = uniform(this->random) < this->plan.repeatable_share;
    request.node = static_cast<std::uint32_t>(uniform_index(this->random, this->nodes.size()));
    request.arrived = this->now;
    this->requests.push_back(request);
    this->admit_request(static_cast<std::uint32_t>(this->requests.size() - 1));
    const double wait = -std::log(1 - uniform(this->random)) / (rate * this->load_factor);
    this->schedule_event(this->now + duration{static_cast<std::int64_t>(wait * 1e9)},
                         step_kind::arrive, 0);
}

void fleet_model::admit_request(std::uint32_t number)
{
    model_request& request = this->requests[number];
    node_state& node = this->nodes[request.node];
    ++this->counts.requests;
    const crash_verdict verdict = node.decisions->check_crash_suspect(request, this->now);
    request.is_trial = verdict == crash_verdict::trial;
    if (verdict == crash_verdict::blocked) {
        this->counts.false_crash_suspects += request.crashes ? 0 : 1;
        this->refuse_request(number, ran::no);
    }
    else if (!node.waiting.empty() || !this->try_start_attempt(number)) {
        node.waiting.push_back(number);
    }
}

void fleet_model::refuse_request(std::uint32_t number, ran reported)
{
    const model_request& request = this->requests[number];
    (reported == ran::no ? this->counts.refused_not_run : this->counts.refused_unknown) += 1;
    this->counts.untrue_refusals += reported == ran::no && request.runs > 0 ? 1 : 0;
}

bool fleet_model::try_start_attempt(std::uint32_t number)
{
    model_request& request = this->requests[number];
    node_state& node = this->nodes[request.node];
    const auto attempt = static_cast<std::uint32_t>(this->attempts.size());
    // One request in twenty finds no idle connection in the pool.
    const bool is_fresh = uniform_index(this->random, 20) == 0;
    const auto target = node.decisions->start_attempt(attempt, request, is_fresh, this->now);
    if (!target) {
        return false;
    }
    ++request.attempts;
    request.tried.push_back(model_upstream_id(target->upstream));
    const auto upstream = static_cast<std::uint32_t>(target->upstream);
    this->attempts.push_back({number, upstream, this->incarnations[upstream],
                              target->use_fresh_connection, false, false,
                              this->now + idle_timeout});
    node.outstanding.push_back(attempt);
    // An attempt that gets a hung connection removes it from the pool and is never delivered.
    if (!target->use_fresh_connection && node.hung_connections[upstream] > 0) {
        --node.hung_connections[upstream];
        return true;
    }
    const network_cut& path = this->network_cut_between(request.node, upstream);
    if (path.mute || (path.deaf && target->use_fresh_connection)) {
        return true;
    }
    const duration connect = target->use_fresh_connection ? connect_time : duration::zero();
    this->schedule_event(this->now + connect + this->draw_link_delay(), step_kind::deliver,
                         attempt);
    return true;
}

void fleet_model::deliver_attempt(std::uint32_t number)
{
    attempt_state& attempt = this->attempts[number];
    upstream_model& upstream = this->upstreams[attempt.upstream];
    if (upstream.is_down(this->now) ||
        attempt.incarnation != this->incarnations[attempt.upstream]) {
        this->schedule_event(this->now + this->draw_link_delay(), step_kind::reply, number,
                             outcome_kind::connect_failed);
        return;
    }
    this->attempts_at_upstream[attempt.upstream].insert(number);
    upstream.enqueue(number);
    this->start_queued_attempts(attempt.upstream);
}

void fleet_model::start_queued_attempts(std::size_t number)
{
    upstream_model& upstream = this->upstreams[number];
    std::uint32_t next = 0;
    while (upstream.start_queued(next)) {
        attempt_state& attempt = this->attempts[next];
        model_request& request = this->requests[attempt.request];
        if (attempt.is_finished) {
            // The node cancelled the attempt while it was queued.
            this->attempts_at_upstream[number].erase(next);
            upstream.free_slot();
            continue;
        }
        attempt.has_run = true;
        ++request.runs;
        this->counts.duplicate_runs += !request.is_repeatable && request.runs > 1 ? 1 : 0;
        this->schedule_event(this->now + upstream.draw_service_time(this->now, this->random),
                             step_kind::complete, next);
    }
}

void fleet_model::complete_run(std::uint32_t number)
{
    attempt_state& attempt = this->attempts[number];
    upstream_model& upstream = this->upstreams[attempt.upstream];
    if (attempt.incarnation != this->incarnations[attempt.upstream]) {
        return;
    }
    if (this->requests[attempt.request].crashes) {
        this->crash_upstream(attempt.upstream);
        return;
    }
    if (upstream.is_stalled()) {
        this->stalled_attempts[attempt.upstream].push_back(number);
        return;
    }
    this->attempts_at_upstream[attempt.upstream].erase(number);
    upstream.free_slot();
    if (!this->network_cut_between(this->requests[attempt.request].node, attempt.upstream).deaf) {
        this->schedule_event(this->now + this->draw_link_delay(), step_kind::reply, number,
                             outcome_kind::success);
    }
    this->start_queued_attempts(attempt.upstream);
}

} // namespace dragonflyroad::bench
