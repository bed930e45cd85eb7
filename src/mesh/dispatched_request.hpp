#pragma once

#include "core/clock.hpp"
#include "core/reasons.hpp"
#include "mesh/dispatcher.hpp"
#include "mesh/event_loop_http_server.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// A request that passed admission: its route, organisation and service are set.
struct admitted_request {
    http_request request;
    std::string id;
    route_rule route;
    service_name service;
    service_name caller_service;
    organisation_id organisation;
    work_rank rank;
    time_point arrived{};
    /// Time by which the caller gets a response, if only a refusal.
    time_point deadline{};
    /// Time until which the caller itself waits; the route may allow less.
    time_point caller_deadline{};
    revision_number revision = 0;
    bool needs_quota = false;
    /// For a call that an upstream makes, the probability that a repeated run has made it.
    double retry_share = 0;
    /// See request_fingerprint().
    std::uint64_t fingerprint = 0;
};

/// Dispatches one request to an upstream. Once the organisation's quota admits the request, it
/// reserves slots at a few VMs at a time and sends the request to the first VM with an acceptable
/// offer. A failure before the request is sent leaves nothing executed, so the request can safely
/// go to another VM. A repeatable request is retried after a failed run, or hedged while a run is
/// slow or its VM is unreachable, within the retry budget. The first answer with a status below 500
/// ends the request.
class dispatched_request : public served_request,
                           public std::enable_shared_from_this<dispatched_request> {
public:
    dispatched_request(dispatcher& parent, quota_coordinator& quotas, admitted_request accepted,
                       response_function answer);

    void start();
    void cancel() override;
    void answer_before_stop() override;

    void receive(const node_id& from, const reservation_accepted_message& message);
    void receive(const node_id& from, const reservation_declined_message& message);
    void receive(const node_id& from, const response_message& message);
    void receive(const node_id& from, const failed_message& message);
    void on_unreachable(const node_id& node);
    /// A new link to the node is open, so the outcomes of its runs arrive again.
    void on_reachable(const node_id& node);
    void on_restarted(const node_id& node);

    bool is_running(run_id id, const node_id& node) const;
    bool awaits_reply_from(const node_id& node) const;

private:
    struct reservation {
        bool has_reply = false;
        bool is_offer = false;
        /// For an offer the expected cost of running there, otherwise the expected wait in the
        /// queue plus that cost. The wait is not reduced by the time that has passed since the
        /// reply: a queue that drains more slowly than estimated is no closer to its end.
        std::chrono::milliseconds cost{0};
        /// Load of the upstream when its node replied; empty when the node does not report it.
        upstream_load_report load;
    };
    struct active_run {
        node_id vm;
        time_point started_at{};
        /// When the link to the VM failed while this run was open; zero if it has not.
        time_point link_lost_at{};
    };

    /// Refuses the request if it could not start in time; see door_admission.
    bool refuse_at_door();
    void ask_quota();
    void on_quota(const quota_decision& decision);
    void begin_round();
    void end_round();
    bool reserve_more(std::size_t count);
    /// Whether the VM is not asked again in this round: it holds a reservation, is in `declined`,
    /// or its offer was released.
    bool is_excluded(const node_id& vm) const;
    void evaluate_replies();
    /// Whether an offer is held that is good enough to be accepted.
    bool holds_good_offer() const;
    /// What an offer of this VM costs beyond the expected loss that it states, in milliseconds.
    double placement_cost(const node_id& vm, const upstream_load_report& load) const;
    /// Mean size of the responses to such requests.
    double response_size() const;
    /// Whether the VM is in this node's data centre.
    bool is_same_centre(const node_id& vm) const;
    void log_dispatch(const node_id& vm, const reservation& offer, time_point now) const;
    std::vector<reservation_reply> received_replies() const;
    bool has_unanswered_reservation() const;
    /// Releases the offered slots of all VMs except `kept`.
    void release_offers(const std::optional<node_id>& kept);
    void hand_over(const node_id& vm);
    void continue_after_decline();
    /// Arranges that the VMs whose upstream is on probation are asked again: after a pause if there
    /// is time, otherwise at once and to run the request in any case. False when there are none.
    bool ask_upstreams_on_probation();
    /// Checks the deadline, the round and the runs. The timer is armed again as long as the request
    /// is not answered.
    void on_tick();
    /// Ends a round to which no VM replies, or asks more VMs.
    void check_round();
    /// Looks for another VM for a run that is lost or takes too long.
    void check_runs();
    /// Refuses the request if it was not handed over and could not end before this node stops.
    bool refuse_if_too_late_to_start();
    /// Refuses the request if such requests have crashed upstreams.
    bool refuse_if_crash_suspect();
    void arm_tick();
    /// Whether another run may start: the request is repeatable, has runs left and is expected to
    /// end before its deadline. If so, counts the retry in the metrics.
    bool count_retry_if_allowed(retry_reason reason);
    void fail_run(run_id id, const failed_message& message);
    /// Answers the request now with what is known: an earlier failed answer, or a refusal that says
    /// whether the request may have run.
    void end_early(refusal_reason if_run, refusal_reason if_not_run);
    /// Ends a round that found no upstream. While no other run is open, the request is answered
    /// with the failed answer of an earlier run, if there is one, and refused otherwise.
    void fail_round(refusal_reason reason, ran executed, const std::string& detail);
    /// Ends a round in which no upstream can take the request.
    void fail_without_upstream(const std::string& detail);
    void deliver(const response_message& message);
    /// The Retry-After of a refusal of a request that did not run; nothing where waiting does not
    /// help.
    std::optional<std::chrono::milliseconds> retry_after(refusal_reason reason) const;
    void refuse(refusal_reason reason, ran executed, const std::string& detail);
    void finish(http_response answer);
    void release_all();
    std::chrono::milliseconds expected_run() const;
    /// Time within which a run must start to meet the latency objective, or for a call that an
    /// upstream makes, the deadline.
    std::chrono::milliseconds start_within() const;
    /// Time within which a run must start so that most runs meet the deadline.
    std::chrono::milliseconds late_start_within() const;
    std::chrono::milliseconds failure_cost() const;

    dispatcher& owner;
    quota_coordinator& quota;
    admitted_request accepted;
    response_function respond_to_caller;
    boost::asio::steady_timer timer;
    run_id round = 0;
    std::map<node_id, reservation> reservations;
    /// VMs that are not asked again in this round: they declined, were unreachable or ran the
    /// request before.
    std::set<node_id> declined;
    /// VMs whose offer was released in this round because another VM was expected to be better.
    std::set<node_id> released_vms;
    std::map<run_id, active_run> runs;
    /// VMs that the request was sent to.
    std::set<node_id> attempted_vms;
    std::optional<response_message> failed_response;
    std::optional<std::chrono::milliseconds> shortest_wait;
    std::size_t runs_started = 0;
    /// Whether a run reached an upstream or may have reached it.
    bool may_have_been_sent = false;
    std::size_t retry_declines = 0;
    std::size_t rounds_started = 0;
    /// When a VM last replied in this round; initially when the round began.
    time_point last_reply_at{};
    time_point next_reserve_at{};
    /// When the first of the present offers came; zero without one.
    time_point first_offer_at{};
    /// Until when an offer may be held while other VMs are asked; zero before the first offer.
    time_point offer_hold_until{};
    /// Whether the quota's holder counted the request.
    bool is_quota_charged = false;
    /// VMs that declined in this round because their queue is too long.
    std::size_t overload_declines = 0;
    /// VMs that declined in this round because their upstream is on probation.
    std::set<node_id> on_probation;
    /// Whether those VMs are asked too: every other one has declined.
    bool accepts_probation = false;
    bool is_done = false;
};

} // namespace dragonflyroad
