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

std::uint64_t mix(std::uint64_t value)
{
    return stable_hash({reinterpret_cast<const char*>(&value), sizeof(value)});
}

} // namespace

fleet_model::fleet_model(const scenario& given)
    : plan(given), random(given.seed * 7919 + 17), end(start() + given.length)
{
    const std::size_t count = this->plan.shape.upstreams;
    this->upstreams.assign(count, upstream_model(this->plan.shape.slots, this->plan.times));
    this->incarnations.assign(count, 0);
    this->announced.assign(count, true);
    this->faulty_until.assign(count, time_point{});
    this->sound_from.assign(count, time_point{});
    this->held.resize(count);
    this->at_upstream.resize(count);
    this->cuts.resize(this->plan.nodes * count);
    for (std::size_t node = 0; node < this->plan.nodes; ++node) {
        node_state state;
        state.decisions =
            this->plan.is_baseline
                ? make_baseline_router(node)
                : make_own_router(node, this->plan.nodes, this->plan.floor, this->random());
        state.silent.assign(count, 0);
        this->nodes.push_back(std::move(state));
        this->push(this->now +
                       (tick_period * static_cast<int>(node)) / static_cast<int>(this->plan.nodes),
                   step_kind::tick, static_cast<std::uint32_t>(node));
        this->push(this->now +
                       duration{static_cast<std::int64_t>(
                           uniform(this->random) * static_cast<double>(gossip_period.count()))},
                   step_kind::gossip, static_cast<std::uint32_t>(node));
    }
    for (std::size_t upstream = 0; upstream < count; ++upstream) {
        const bool joins_later = std::any_of(
            this->plan.schedule.begin(), this->plan.schedule.end(), [&](const auto& entry) {
                return entry.what == timed_event::kind::join && entry.upstream == upstream;
            });
        this->announced[upstream] = !joins_later;
        if (!joins_later) {
            this->announce(upstream, upstream_state::ready);
        }
    }
    for (std::uint32_t index = 0; index < this->plan.schedule.size(); ++index) {
        this->push(this->plan.schedule[index].at, step_kind::schedule, index);
    }
    this->push(this->now, step_kind::arrive, 0);
}

void fleet_model::push(time_point at, step_kind kind, std::uint32_t subject, outcome_kind outcome)
{
    this->events.push({at, this->order++, kind, subject, outcome});
}

duration fleet_model::link()
{
    // A third of the upstreams are in the node's own data centre.
    const bool is_near = uniform_index(this->random, 3) == 0;
    return is_near ? duration{200us} : this->plan.shape.link;
}

run_counts fleet_model::run(const observer& observe)
{
    while (!this->events.empty() && this->events.top().at < this->end) {
        const event next = this->events.top();
        this->events.pop();
        this->now = next.at;
        this->handle(next, observe);
    }
    return std::move(this->counts);
}

void fleet_model::handle(const event& next, const observer& observe)
{
    switch (next.kind) {
    case step_kind::arrive:
        this->arrive();
        break;
    case step_kind::crash_client: {
        model_request request;
        request.fingerprint = crashing_fingerprint;
        request.crashes = true;
        request.arrived = this->now;
        request.node = static_cast<std::uint32_t>(uniform_index(this->random, this->nodes.size()));
        this->requests.push_back(request);
        this->admit(static_cast<std::uint32_t>(this->requests.size() - 1));
        this->push(this->now + 200ms, step_kind::crash_client, 0);
        break;
    }
    case step_kind::deliver:
        this->deliver(next.subject);
        break;
    case step_kind::complete:
        this->complete(next.subject);
        break;
    case step_kind::reply:
        this->reply(next.subject, next.outcome);
        break;
    case step_kind::tick:
        this->tick(next.subject, observe);
        break;
    case step_kind::gossip:
        this->exchange_gossip(next.subject);
        break;
    case step_kind::schedule:
        this->apply(this->plan.schedule[next.subject]);
        break;
    }
}

void fleet_model::arrive()
{
    const double slots = static_cast<double>(this->plan.shape.upstreams * this->plan.shape.slots);
    const service_times& times = this->plan.times;
    const double mean_ms = times.median_ms * std::exp(times.sigma * times.sigma / 2) *
                           (1 + times.heavy_share * (times.heavy_factor - 1));
    const double rate = this->plan.load * slots / (mean_ms / 1000);
    // Two of the eight organisations send 30% each; the surplus of a burst is the first one's.
    const double ordinary = uniform(this->random) * this->load_factor;
    const double draw = ordinary < 1 ? uniform(this->random) : 0;
    model_request request;
    request.organisation = mix(draw < 0.3   ? 0
                               : draw < 0.6 ? 1
                                            : 2 + uniform_index(this->random, organisations - 2));
    request.fingerprint =
        mix(request.organisation + uniform_index(this->random, distinct_requests));
    request.is_repeatable = uniform(this->random) < this->plan.repeatable_share;
    request.node = static_cast<std::uint32_t>(uniform_index(this->random, this->nodes.size()));
    request.arrived = this->now;
    this->requests.push_back(request);
    this->admit(static_cast<std::uint32_t>(this->requests.size() - 1));
    const double wait = -std::log(1 - uniform(this->random)) / (rate * this->load_factor);
    this->push(this->now + duration{static_cast<std::int64_t>(wait * 1e9)}, step_kind::arrive, 0);
}

void fleet_model::admit(std::uint32_t number)
{
    model_request& request = this->requests[number];
    node_state& node = this->nodes[request.node];
    ++this->counts.requests;
    const crash_verdict verdict = node.decisions->ask_crash(request, this->now);
    request.is_trial = verdict == crash_verdict::trial;
    if (verdict == crash_verdict::blocked) {
        this->counts.innocent_suspects += request.crashes ? 0 : 1;
        this->refuse(number, ran::no);
    }
    else if (!node.waiting.empty() || !this->try_start(number)) {
        node.waiting.push_back(number);
    }
}

void fleet_model::refuse(std::uint32_t number, ran said)
{
    const model_request& request = this->requests[number];
    (said == ran::no ? this->counts.refused_not_run : this->counts.refused_unknown) += 1;
    this->counts.untrue_refusals += said == ran::no && request.runs > 0 ? 1 : 0;
}

bool fleet_model::try_start(std::uint32_t number)
{
    model_request& request = this->requests[number];
    node_state& node = this->nodes[request.node];
    const auto attempt = static_cast<std::uint32_t>(this->attempts.size());
    // Connections to a silenced upstream are used up by the requests that hang on them.
    const bool is_fresh = uniform_index(this->random, 20) == 0;
    const auto target = node.decisions->begin(attempt, request, is_fresh, this->now);
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
    if (!target->use_fresh_connection && node.silent[upstream] > 0) {
        --node.silent[upstream];
        return true;
    }
    const cut& severed = this->cut_of(request.node, upstream);
    if (severed.mute || (severed.deaf && target->use_fresh_connection)) {
        return true;
    }
    const duration connect = target->use_fresh_connection ? connect_time : duration::zero();
    this->push(this->now + connect + this->link(), step_kind::deliver, attempt);
    return true;
}

void fleet_model::deliver(std::uint32_t number)
{
    attempt_state& attempt = this->attempts[number];
    upstream_model& upstream = this->upstreams[attempt.upstream];
    if (upstream.is_down(this->now) ||
        attempt.incarnation != this->incarnations[attempt.upstream]) {
        this->push(this->now + this->link(), step_kind::reply, number,
                   outcome_kind::connect_failed);
        return;
    }
    this->at_upstream[attempt.upstream].insert(number);
    upstream.push(number);
    this->serve(attempt.upstream);
}

void fleet_model::serve(std::size_t number)
{
    upstream_model& upstream = this->upstreams[number];
    std::uint32_t next = 0;
    while (upstream.start_next(next)) {
        attempt_state& attempt = this->attempts[next];
        model_request& request = this->requests[attempt.request];
        if (attempt.is_finished) {
            // The node cancelled it while it waited.
            this->at_upstream[number].erase(next);
            upstream.free_slot();
            continue;
        }
        attempt.has_run = true;
        ++request.runs;
        this->counts.duplicate_runs += !request.is_repeatable && request.runs > 1 ? 1 : 0;
        this->push(this->now + upstream.draw_time(this->now, this->random), step_kind::complete,
                   next);
    }
}

void fleet_model::complete(std::uint32_t number)
{
    attempt_state& attempt = this->attempts[number];
    upstream_model& upstream = this->upstreams[attempt.upstream];
    if (attempt.incarnation != this->incarnations[attempt.upstream]) {
        return;
    }
    if (this->requests[attempt.request].crashes) {
        this->crash(attempt.upstream);
        return;
    }
    if (upstream.holds()) {
        this->held[attempt.upstream].push_back(number);
        return;
    }
    this->at_upstream[attempt.upstream].erase(number);
    upstream.free_slot();
    if (!this->cut_of(this->requests[attempt.request].node, attempt.upstream).deaf) {
        this->push(this->now + this->link(), step_kind::reply, number, outcome_kind::success);
    }
    this->serve(attempt.upstream);
}

} // namespace dragonflyroad::bench
