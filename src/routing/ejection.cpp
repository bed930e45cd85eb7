#include "routing/ejection.hpp"

#include "routing/concurrency_limit.hpp"
#include "routing/service_comparison.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr duration first_ejection = 2s;
constexpr duration longest_ejection = 60s;
// An upstream that stayed healthy for this multiple of its last ejection starts afresh.
constexpr int forgiving_factor = 4;
constexpr duration least_forgiving = 30s;
constexpr duration calm_time = 1s;
constexpr double calm_suspicion = 1;
constexpr std::uint32_t probes_needed = 5;
constexpr std::uint32_t probes_bad_allowed = 1;
// When no peer has anything to say for this long, none of them uses the upstream.
constexpr duration peer_silence = 2s;
// Suspicion from which further requests are sent to verify it: one bad request of a service that is
// rarely bad. Three at once suffice to reach the ejection limit.
constexpr double suspicion_to_verify = 2.5;
// Upstreams that queued much recover later than the others.
constexpr duration slow_service_hold = 2s;
// Verifications on their way at once, and overdue ones included. Each node sends its own: more
// would fill the queue of a sound upstream with three slots and make it look bad.
constexpr std::uint32_t verifications_at_once = 2;
constexpr std::uint32_t verifications_allowed = 3;
constexpr duration verification_pause = 200ms;
constexpr std::size_t largest_evidence_list = 16;
constexpr double default_floor = 0.5;
// Share of all upstreams, over several services, from which the fault is this node's own.
constexpr double suspect_node_share = 1.0 / 3;

} // namespace

bool ejection_controller::may_eject(round& current, const upstream_assessment& seen)
{
    if (current.state.is_slow || this->node_suspect) {
        this->veto(ejection_veto::service_slow);
        return false;
    }
    if (!peers_are_sound(current.assessments, seen)) {
        this->veto(ejection_veto::peers_uncertain);
        return false;
    }
    if (unsuspected_share(current.assessments, seen.upstream.get()) < current.floor) {
        this->veto(ejection_veto::floor);
        return false;
    }
    return true;
}

void ejection_controller::move(round& current, const upstream_assessment& seen, record& known,
                               ejection_step step)
{
    current.changes.push_back(
        {seen.upstream->service, seen.upstream->id, known.step, step, known.scope, seen.suspicion});
    known.step = step;
    known.step_since = current.now;
    known.calm_since = current.now;
    known.probes_good = 0;
    known.probes_bad = 0;
    const std::int64_t now_ns = current.now.time_since_epoch().count();
    if (step == ejection_step::probation) {
        // What was in flight when it was ejected says nothing about now.
        current.state.detector.clear(seen.upstream, current.now);
        seen.upstream->next_probe_ns.store(now_ns);
    }
    seen.upstream->step.store(step);
}

void ejection_controller::eject(round& current, const upstream_assessment& seen, record& known)
{
    const duration forgiving = std::max(least_forgiving, forgiving_factor * known.last_ejection);
    if (known.step == ejection_step::healthy && current.now - known.step_since > forgiving) {
        known.ejections = 0;
    }
    duration length = first_ejection;
    for (std::uint32_t count = 0; count < known.ejections && length < longest_ejection; ++count) {
        length *= 2;
    }
    length = std::min(length, longest_ejection);
    ++known.ejections;
    known.last_ejection = length;
    known.until = current.now + length;
    if (known.step != ejection_step::probation) {
        known.scope = fault_scope::none;
    }
    this->move(current, seen, known, ejection_step::ejected);
    this->update_scope(seen, known, current.now);
    current.changes.back().scope = known.scope;
}

// A fault seen from here is not called one of the upstream until a peer that uses the upstream sees
// it too, or none does.
void ejection_controller::update_scope(const upstream_assessment& seen, record& known,
                                       time_point now)
{
    const peer_opinion opinion = weigh_evidence(known.peers, seen.bad_since, now);
    const bool is_alone = this->reachable_peers == 0 || now - known.step_since > peer_silence;
    if (opinion.bad > opinion.good ||
        (is_alone && opinion.good == 0 && known.scope == fault_scope::none)) {
        known.scope = fault_scope::upstream;
    }
    else if (opinion.good > 0) {
        known.scope = fault_scope::path;
    }
}

void ejection_controller::step_suspected(round& current, const upstream_assessment& seen,
                                         record& known)
{
    if (seen.suspicion >= suspicion_to_eject && seen.is_conclusive) {
        if (this->may_eject(current, seen)) {
            this->eject(current, seen, known);
            return;
        }
    }
    if (known.step == ejection_step::healthy && seen.suspicion >= suspicion_to_reduce &&
        !current.state.is_slow) {
        this->move(current, seen, known, ejection_step::reduced);
    }
}

void ejection_controller::step_probation(round& current, const upstream_assessment& seen,
                                         record& known)
{
    known.probes_good += seen.good;
    known.probes_bad += seen.bad;
    if (known.probes_bad + seen.overdue > probes_bad_allowed ||
        seen.suspicion >= suspicion_to_reduce) {
        if (unsuspected_share(current.assessments, seen.upstream.get()) >= current.floor) {
            this->eject(current, seen, known);
        }
        else {
            this->veto(ejection_veto::floor);
            this->move(current, seen, known, ejection_step::reduced);
        }
    }
    else if (known.probes_good >= probes_needed) {
        known.scope = fault_scope::none;
        seen.upstream->ramp_since_ns.store(current.now.time_since_epoch().count());
        this->move(current, seen, known, ejection_step::healthy);
    }
}

// Asks for requests that prove or clear a suspicion of this node or of a peer.
void ejection_controller::verify(const upstream_assessment& seen, const record& known,
                                 time_point now)
{
    const bool is_rotating =
        known.step == ejection_step::healthy || known.step == ejection_step::reduced;
    // An ordinary response settles the suspicion unless a fresh connection hangs as well.
    const bool is_answered = seen.overdue_fresh == 0 &&
                             now - known.last_good < verification_pause &&
                             seen.upstream->statistics.last_good_start() >= seen.episode_since;
    const bool is_wanted =
        is_rotating && !is_answered &&
        (seen.suspicion >= suspicion_to_verify || known.step == ejection_step::reduced ||
         weigh_evidence(known.peers, now - evidence_lifetime, now).bad > 0);
    seen.upstream->verify_fresh.store(is_wanted || known.step == ejection_step::probation);
    // All three may come from one organisation; two more are then likely to come from another.
    const std::uint32_t allowed = seen.suspicion >= suspicion_to_eject && !seen.is_conclusive
                                      ? verifications_allowed + 2
                                      : verifications_allowed;
    const std::uint32_t at_once = seen.suspicion < suspicion_to_reduce ? 1 : verifications_at_once;
    const std::uint32_t sent = seen.verifying + seen.overdue_fresh;
    const std::uint32_t wanted =
        std::min(at_once - std::min(at_once, seen.verifying), allowed - std::min(allowed, sent));
    seen.upstream->verifications.store(is_wanted ? static_cast<std::int32_t>(wanted) : 0);
}

// Takes turns between the upstreams that wait for a request.
void ejection_controller::set_preferred(round& current)
{
    const auto& upstreams = current.view->upstreams;
    for (std::size_t step = 1; step <= upstreams.size(); ++step) {
        const auto place = (current.state.preferred + step) % upstreams.size();
        if (upstreams[place]->verifications.load() > 0 ||
            upstreams[place]->step.load() == ejection_step::probation) {
            current.state.preferred = static_cast<std::uint32_t>(place);
            current.view->reference->preferred.store(current.state.preferred);
            return;
        }
    }
}

void ejection_controller::step_one(round& current, const upstream_assessment& seen, record& known)
{
    known.suspicion = seen.suspicion;
    known.fresh_suspicion = seen.fresh_suspicion;
    known.recent_good = seen.recent_good;
    if (seen.good > 0) {
        known.last_good = current.now;
    }
    if (seen.good + seen.bad + seen.overdue > 0) {
        known.observed_at = current.now;
    }
    switch (known.step) {
    case ejection_step::healthy:
        this->step_suspected(current, seen, known);
        break;
    case ejection_step::reduced:
        if (seen.suspicion > calm_suspicion) {
            known.calm_since = current.now;
        }
        if (current.now - known.calm_since >= calm_time) {
            known.scope = fault_scope::none;
            this->move(current, seen, known, ejection_step::healthy);
        }
        else {
            this->step_suspected(current, seen, known);
        }
        break;
    case ejection_step::ejected:
        this->update_scope(seen, known, current.now);
        if (current.now >= known.until) {
            this->move(current, seen, known, ejection_step::probation);
        }
        break;
    case ejection_step::probation:
        this->step_probation(current, seen, known);
        break;
    }
}

// Capacity may shrink after an ejection: others drain, expire or become suspected. The upstreams
// that were ejected first then return at reduced weight until the floor is kept again.
void ejection_controller::restore_floor(round& current)
{
    double announced = 0;
    double in_rotation = 0;
    std::vector<const upstream_assessment*> ejected;
    for (const upstream_assessment& seen : current.assessments) {
        if (!is_ready(seen)) {
            continue;
        }
        announced += seen.upstream->slots.load();
        const ejection_step step = seen.upstream->step.load();
        if (step == ejection_step::healthy) {
            in_rotation += seen.upstream->slots.load();
        }
        else if (step != ejection_step::reduced) {
            ejected.push_back(&seen);
        }
    }
    std::sort(ejected.begin(), ejected.end(), [&](const auto* left, const auto* right) {
        return current.state.records[left->upstream->id].step_since <
               current.state.records[right->upstream->id].step_since;
    });
    for (const upstream_assessment* seen : ejected) {
        if (in_rotation >= current.floor * announced) {
            break;
        }
        this->veto(ejection_veto::floor);
        this->move(current, *seen, current.state.records[seen->upstream->id],
                   ejection_step::reduced);
        in_rotation += seen->upstream->slots.load();
    }
}

void ejection_controller::tick_service(round& current)
{
    if (is_service_slow(current.assessments)) {
        current.state.slow_until = current.now + slow_service_hold;
    }
    current.state.is_slow = current.now < current.state.slow_until;
    // The most suspected first, so that the floor leaves out the least suspected.
    std::sort(current.assessments.begin(), current.assessments.end(),
              [](const auto& left, const auto& right) { return left.suspicion > right.suspicion; });
    for (const upstream_assessment& seen : current.assessments) {
        if (is_ready(seen)) {
            record& known = current.state.records[seen.upstream->id];
            this->step_one(current, seen, known);
            verify(seen, known, current.now);
        }
        update_concurrency_limit(*seen.upstream, seen.upstream->reference->median(), seen.has_shed);
    }
    this->restore_floor(current);
    set_preferred(current);
}

std::vector<ejection_change>
ejection_controller::tick(const upstream_set& upstreams,
                          const std::unordered_map<service_name, double>& floors, time_point now)
{
    std::vector<ejection_change> changes;
    std::vector<round> rounds;
    double ready = 0;
    double bad = 0;
    std::size_t services_bad = 0;
    for (const auto& view : upstreams.views()) {
        if (view->upstreams.empty()) {
            continue;
        }
        const service_name& name = view->upstreams.front()->service;
        service_state& state = this->services[name];
        const auto floor = floors.find(name);
        rounds.push_back({state,
                          state.detector.assess(*view, state.is_slow, now),
                          view,
                          floor == floors.end() ? default_floor : floor->second,
                          {},
                          now});
        std::size_t bad_here = 0;
        for (const upstream_assessment& seen : rounds.back().assessments) {
            ready += is_ready(seen) ? 1 : 0;
            bad_here += is_ready(seen) && looks_bad(seen) ? 1 : 0;
        }
        bad += static_cast<double>(bad_here);
        services_bad += bad_here > 0 ? 1 : 0;
    }
    this->node_suspect = services_bad >= 2 && bad > ready * suspect_node_share;
    for (round& current : rounds) {
        this->tick_service(current);
        changes.insert(changes.end(), current.changes.begin(), current.changes.end());
    }
    return changes;
}

void ejection_controller::accept(const ejection_evidence& evidence, time_point now)
{
    if (evidence.from == this->self || now - evidence.as_of > evidence_lifetime) {
        return;
    }
    const auto state = this->services.find(evidence.service);
    if (state == this->services.end()) {
        return;
    }
    const auto known = state->second.records.find(evidence.upstream);
    if (known == state->second.records.end()) {
        return;
    }
    ejection_evidence& held = known->second.peers[evidence.from];
    if (held.from.empty() || held.as_of < evidence.as_of) {
        held = evidence;
    }
    std::erase_if(known->second.peers, [&](const auto& entry) {
        return now - entry.second.as_of > 4 * evidence_lifetime;
    });
}

std::vector<ejection_evidence> ejection_controller::evidence(time_point now) const
{
    std::vector<ejection_evidence> list;
    for (const auto& [service, state] : this->services) {
        for (const auto& [upstream, known] : state.records) {
            const bool is_asked =
                std::any_of(known.peers.begin(), known.peers.end(), [&](const auto& entry) {
                    return now - entry.second.as_of <= evidence_lifetime &&
                           (entry.second.suspicion >= suspicion_worth_telling ||
                            entry.second.step != ejection_step::healthy);
                });
            const bool is_fresh = now - known.observed_at <= evidence_lifetime;
            if (is_fresh &&
                (known.fresh_suspicion >= suspicion_worth_telling || is_asked ||
                 known.step == ejection_step::ejected || known.step == ejection_step::probation)) {
                list.push_back({this->self, service, upstream, known.fresh_suspicion,
                                static_cast<std::uint32_t>(known.recent_good), known.step,
                                known.observed_at});
            }
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
        return left.suspicion > right.suspicion;
    });
    if (list.size() > largest_evidence_list) {
        list.resize(largest_evidence_list);
    }
    return list;
}

std::optional<ejection_status> ejection_controller::status(const service_name& service,
                                                           const upstream_id& upstream) const
{
    const auto state = this->services.find(service);
    if (state == this->services.end()) {
        return std::nullopt;
    }
    const auto known = state->second.records.find(upstream);
    if (known == state->second.records.end()) {
        return std::nullopt;
    }
    return static_cast<const ejection_status&>(known->second);
}

duration ejection_controller::latency_quantile(const service_name& service, double share) const
{
    const auto state = this->services.find(service);
    return state == this->services.end() ? duration::zero()
                                         : state->second.detector.latency_quantile(share);
}

} // namespace dragonflyroad
