#include "routing/ejection_controller.hpp"

#include "routing/concurrency_limit.hpp"
#include "routing/service_comparison.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

using namespace std::chrono_literals;

constexpr duration base_ejection_time = 2s;
constexpr duration max_ejection_time = 60s;
// An upstream that stayed healthy for this multiple of its last ejection time starts again with the
// base ejection time.
constexpr int ejection_reset_factor = 4;
constexpr duration min_ejection_reset_time = 30s;
constexpr duration recovery_time = 1s;
constexpr double recovered_suspicion = 1;
constexpr std::uint32_t probes_needed = 5;
constexpr std::uint32_t failed_probes_allowed = 1;
// If no peer has reported evidence this long after an ejection, none is assumed to use the
// upstream.
constexpr duration peer_report_timeout = 2s;
// Suspicion from which requests are sent to verify it. One bad request at a service that is rarely
// bad adds more: 4.1, or up to 6.2 if it is overdue. Three requests that are overdue on fresh
// connections at once can reach the ejection threshold.
constexpr double suspicion_to_verify = 2.5;
// The service counts as slow for this long after the last tick that found it slow: upstreams with
// long queues recover later than the others.
constexpr duration slow_service_hold = 2s;
// Limits on the verifications in flight: on those not overdue yet, and on all of them. Every node
// sends its own verifications. More of them would fill the queue of a healthy upstream with three
// slots and make it look bad.
constexpr std::uint32_t max_concurrent_verifications = 2;
constexpr std::uint32_t max_outstanding_verifications = 3;
constexpr duration verification_pause = 200ms;
constexpr std::size_t max_evidence_entries = 16;
constexpr double default_floor = 0.5;
// Share of all upstreams, over several services, that must look faulty for the fault to be
// attributed to this node.
constexpr double suspect_node_share = 1.0 / 3;

} // namespace

bool ejection_controller::may_eject(evaluation& current, const upstream_assessment& assessment)
{
    if (current.state.is_slow || this->node_suspect) {
        this->count_blocked(ejection_block_reason::service_slow);
        return false;
    }
    if (!others_are_healthy(current.assessments, assessment)) {
        this->count_blocked(ejection_block_reason::no_comparison);
        return false;
    }
    if (healthy_slot_share(current.assessments, assessment.upstream.get()) < current.floor) {
        this->count_blocked(ejection_block_reason::floor);
        return false;
    }
    return true;
}

void ejection_controller::set_step(evaluation& current, const upstream_assessment& assessment,
                                   ejection_record& record, ejection_step step)
{
    current.changes.push_back({assessment.upstream->service, assessment.upstream->id, record.step,
                               step, record.scope, assessment.suspicion});
    record.step = step;
    record.step_since = current.now;
    record.suspected_until = current.now;
    record.probes_good = 0;
    record.probes_bad = 0;
    const std::int64_t now_ns = current.now.time_since_epoch().count();
    if (step == ejection_step::probation) {
        // Requests that were in flight at the ejection do not show the upstream's present health.
        current.state.detector.clear(assessment.upstream, current.now);
        assessment.upstream->next_probe_ns.store(now_ns);
    }
    assessment.upstream->step.store(step);
}

void ejection_controller::eject(evaluation& current, const upstream_assessment& assessment,
                                ejection_record& record)
{
    const duration reset_time =
        std::max(min_ejection_reset_time, ejection_reset_factor * record.last_ejection_time);
    if (record.step == ejection_step::healthy && current.now - record.step_since > reset_time) {
        record.ejections = 0;
    }
    duration length = base_ejection_time;
    for (std::uint32_t count = 0; count < record.ejections && length < max_ejection_time; ++count) {
        length *= 2;
    }
    length = std::min(length, max_ejection_time);
    ++record.ejections;
    record.last_ejection_time = length;
    record.until = current.now + length;
    if (record.step != ejection_step::probation) {
        record.scope = fault_scope::none;
    }
    this->set_step(current, assessment, record, ejection_step::ejected);
    this->update_scope(assessment, record, current.now);
    current.changes.back().scope = record.scope;
}

// A fault is attributed to the upstream only when more peers see the fault than use the upstream
// without errors, or when no peer reports evidence.
void ejection_controller::update_scope(const upstream_assessment& assessment,
                                       ejection_record& record, time_point now)
{
    const peer_evidence_counts counts =
        count_peer_evidence(record.peers, assessment.bad_since, now);
    const bool no_peer_reports =
        this->reachable_peers == 0 || now - record.step_since > peer_report_timeout;
    if (counts.bad > counts.good ||
        (no_peer_reports && counts.good == 0 && record.scope == fault_scope::none)) {
        record.scope = fault_scope::upstream;
    }
    else if (counts.good > 0) {
        record.scope = fault_scope::path;
    }
}

void ejection_controller::update_suspected(evaluation& current,
                                           const upstream_assessment& assessment,
                                           ejection_record& record)
{
    if (assessment.suspicion >= suspicion_to_eject && assessment.is_conclusive) {
        if (this->may_eject(current, assessment)) {
            this->eject(current, assessment, record);
            return;
        }
    }
    if (record.step == ejection_step::healthy && assessment.suspicion >= suspicion_to_reduce &&
        !current.state.is_slow) {
        this->set_step(current, assessment, record, ejection_step::reduced);
    }
}

void ejection_controller::update_probation(evaluation& current,
                                           const upstream_assessment& assessment,
                                           ejection_record& record)
{
    record.probes_good += assessment.good;
    record.probes_bad += assessment.bad;
    if (record.probes_bad + assessment.overdue > failed_probes_allowed ||
        assessment.suspicion >= suspicion_to_reduce) {
        if (healthy_slot_share(current.assessments, assessment.upstream.get()) >= current.floor) {
            this->eject(current, assessment, record);
        }
        else {
            this->count_blocked(ejection_block_reason::floor);
            this->set_step(current, assessment, record, ejection_step::reduced);
        }
    }
    else if (record.probes_good >= probes_needed) {
        record.scope = fault_scope::none;
        assessment.upstream->slow_start_since_ns.store(current.now.time_since_epoch().count());
        this->set_step(current, assessment, record, ejection_step::healthy);
    }
}

// Requests traffic that confirms or clears the suspicion of this node or of a peer.
void ejection_controller::request_verifications(const upstream_assessment& assessment,
                                                const ejection_record& record, time_point now)
{
    const bool is_in_rotation =
        record.step == ejection_step::healthy || record.step == ejection_step::reduced;
    // After a recent ordinary response no verification is needed, unless a request on a fresh
    // connection is overdue.
    const bool is_cleared =
        assessment.overdue_fresh == 0 && now - record.last_good < verification_pause &&
        assessment.upstream->statistics.last_good_start() >= assessment.episode_since;
    const bool needs_verification =
        is_in_rotation && !is_cleared &&
        (assessment.suspicion >= suspicion_to_verify || record.step == ejection_step::reduced ||
         count_peer_evidence(record.peers, now - evidence_lifetime, now).bad > 0);
    assessment.upstream->needs_fresh_connection.store(needs_verification ||
                                                      record.step == ejection_step::probation);
    // All three verifications may belong to one organisation. Two more are then likely to belong to
    // another one.
    const std::uint32_t max_outstanding =
        assessment.suspicion >= suspicion_to_eject && !assessment.is_conclusive
            ? max_outstanding_verifications + 2
            : max_outstanding_verifications;
    const std::uint32_t max_concurrent =
        assessment.suspicion < suspicion_to_reduce ? 1 : max_concurrent_verifications;
    const std::uint32_t outstanding = assessment.verifying + assessment.overdue_fresh;
    const std::uint32_t to_send =
        std::min(max_concurrent - std::min(max_concurrent, assessment.verifying),
                 max_outstanding - std::min(max_outstanding, outstanding));
    assessment.upstream->requested_verifications.store(
        needs_verification ? static_cast<std::int32_t>(to_send) : 0);
}

// Advances the picker's preference in round-robin order among the upstreams that wait for a
// verification or probe.
void ejection_controller::set_preferred(evaluation& current)
{
    const auto& upstreams = current.view->upstreams;
    for (std::size_t step = 1; step <= upstreams.size(); ++step) {
        const auto index = (current.state.preferred + step) % upstreams.size();
        if (upstreams[index]->requested_verifications.load() > 0 ||
            upstreams[index]->step.load() == ejection_step::probation) {
            current.state.preferred = static_cast<std::uint32_t>(index);
            current.view->reference->preferred.store(current.state.preferred);
            return;
        }
    }
}

void ejection_controller::update_step(evaluation& current, const upstream_assessment& assessment,
                                      ejection_record& record)
{
    record.suspicion = assessment.suspicion;
    record.fresh_suspicion = assessment.fresh_suspicion;
    record.recent_good = assessment.recent_good;
    if (assessment.good > 0) {
        record.last_good = current.now;
    }
    if (assessment.good + assessment.bad + assessment.overdue > 0) {
        record.observed_at = current.now;
    }
    switch (record.step) {
    case ejection_step::healthy:
        this->update_suspected(current, assessment, record);
        break;
    case ejection_step::reduced:
        if (assessment.suspicion > recovered_suspicion) {
            record.suspected_until = current.now;
        }
        if (current.now - record.suspected_until >= recovery_time) {
            record.scope = fault_scope::none;
            this->set_step(current, assessment, record, ejection_step::healthy);
        }
        else {
            this->update_suspected(current, assessment, record);
        }
        break;
    case ejection_step::ejected:
        this->update_scope(assessment, record, current.now);
        if (current.now >= record.until) {
            this->set_step(current, assessment, record, ejection_step::probation);
        }
        break;
    case ejection_step::probation:
        this->update_probation(current, assessment, record);
        break;
    }
}

// The healthy capacity may shrink after an ejection, when other upstreams drain, expire or become
// suspected. The upstreams that have been ejected or in probation for longest then return at
// reduced weight until the floor is met again.
void ejection_controller::restore_floor(evaluation& current)
{
    double announced = 0;
    double in_rotation = 0;
    std::vector<const upstream_assessment*> ejected;
    for (const upstream_assessment& assessment : current.assessments) {
        if (!is_ready(assessment)) {
            continue;
        }
        announced += assessment.upstream->slots.load();
        const ejection_step step = assessment.upstream->step.load();
        if (step == ejection_step::healthy) {
            in_rotation += assessment.upstream->slots.load();
        }
        else if (step != ejection_step::reduced) {
            ejected.push_back(&assessment);
        }
    }
    std::sort(ejected.begin(), ejected.end(), [&](const auto* left, const auto* right) {
        return current.state.records[left->upstream->id].step_since <
               current.state.records[right->upstream->id].step_since;
    });
    for (const upstream_assessment* assessment : ejected) {
        if (in_rotation >= current.floor * announced) {
            break;
        }
        this->count_blocked(ejection_block_reason::floor);
        this->set_step(current, *assessment, current.state.records[assessment->upstream->id],
                       ejection_step::reduced);
        in_rotation += assessment->upstream->slots.load();
    }
}

void ejection_controller::tick_service(evaluation& current)
{
    if (is_service_slow(current.assessments)) {
        current.state.slow_until = current.now + slow_service_hold;
    }
    current.state.is_slow = current.now < current.state.slow_until;
    // By descending suspicion, so that the floor protects the least suspected upstreams from
    // ejection.
    std::sort(current.assessments.begin(), current.assessments.end(),
              [](const auto& left, const auto& right) { return left.suspicion > right.suspicion; });
    for (const upstream_assessment& assessment : current.assessments) {
        if (is_ready(assessment)) {
            ejection_record& record = current.state.records[assessment.upstream->id];
            this->update_step(current, assessment, record);
            request_verifications(assessment, record, current.now);
        }
        update_concurrency_limit(*assessment.upstream, assessment.upstream->reference->median(),
                                 assessment.has_shed);
    }
    this->restore_floor(current);
    set_preferred(current);
}

std::vector<ejection_change>
ejection_controller::tick(const upstream_set& upstreams,
                          const std::unordered_map<service_name, double>& floors, time_point now)
{
    std::vector<ejection_change> changes;
    std::vector<evaluation> evaluations;
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
        evaluations.push_back({state,
                               state.detector.assess(*view, state.is_slow, now),
                               view,
                               floor == floors.end() ? default_floor : floor->second,
                               {},
                               now});
        std::size_t bad_in_service = 0;
        for (const upstream_assessment& assessment : evaluations.back().assessments) {
            ready += is_ready(assessment) ? 1 : 0;
            bad_in_service += is_ready(assessment) && looks_bad(assessment) ? 1 : 0;
        }
        bad += static_cast<double>(bad_in_service);
        services_bad += bad_in_service > 0 ? 1 : 0;
    }
    this->node_suspect = services_bad >= 2 && bad > ready * suspect_node_share;
    for (evaluation& current : evaluations) {
        this->tick_service(current);
        changes.insert(changes.end(), current.changes.begin(), current.changes.end());
    }
    return changes;
}

void ejection_controller::accept_evidence(const ejection_evidence& evidence, time_point now)
{
    if (evidence.from == this->self || now - evidence.as_of > evidence_lifetime) {
        return;
    }
    const auto state = this->services.find(evidence.service);
    if (state == this->services.end()) {
        return;
    }
    const auto record = state->second.records.find(evidence.upstream);
    if (record == state->second.records.end()) {
        return;
    }
    ejection_evidence& latest = record->second.peers[evidence.from];
    if (latest.from.empty() || latest.as_of < evidence.as_of) {
        latest = evidence;
    }
    std::erase_if(record->second.peers, [&](const auto& entry) {
        return now - entry.second.as_of > 4 * evidence_lifetime;
    });
}

std::vector<ejection_evidence> ejection_controller::evidence_to_gossip(time_point now) const
{
    std::vector<ejection_evidence> list;
    for (const auto& [service, state] : this->services) {
        for (const auto& [upstream, record] : state.records) {
            const bool is_suspected_by_peer =
                std::any_of(record.peers.begin(), record.peers.end(), [&](const auto& entry) {
                    return now - entry.second.as_of <= evidence_lifetime &&
                           (entry.second.suspicion >= suspicion_to_gossip ||
                            entry.second.step != ejection_step::healthy);
                });
            const bool is_fresh = now - record.observed_at <= evidence_lifetime;
            if (is_fresh && (record.fresh_suspicion >= suspicion_to_gossip ||
                             is_suspected_by_peer || record.step == ejection_step::ejected ||
                             record.step == ejection_step::probation)) {
                list.push_back({this->self, service, upstream, record.fresh_suspicion,
                                static_cast<std::uint32_t>(record.recent_good), record.step,
                                record.observed_at});
            }
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
        return left.suspicion > right.suspicion;
    });
    if (list.size() > max_evidence_entries) {
        list.resize(max_evidence_entries);
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
    const auto record = state->second.records.find(upstream);
    if (record == state->second.records.end()) {
        return std::nullopt;
    }
    return static_cast<const ejection_status&>(record->second);
}

duration ejection_controller::latency_quantile(const service_name& service, double share) const
{
    const auto state = this->services.find(service);
    return state == this->services.end() ? duration::zero()
                                         : state->second.detector.latency_quantile(share);
}

} // namespace dragonflyroad
