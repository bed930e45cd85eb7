#pragma once

#include "core/clock.hpp"
#include "core/reasons.hpp"
#include "mesh/dispatcher.hpp"
#include "mesh/http_server.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// A request whose route, organisation and service are decided.
struct accepted_request {
    http_request request;
    std::string id;
    route_rule route;
    service_name service;
    service_name caller_service;
    organisation_id organisation;
    work_rank rank;
    time_point arrived{};
    /// When the caller gets an answer in any case.
    time_point deadline{};
    revision_number revision = 0;
    bool needs_quota = false;
};

/// One request on its way to an upstream. Once its organisation's quota admits it, it is reserved
/// at a few VMs at a time and handed over to the first good offer; what fails before that is taken
/// elsewhere without risk. A repeatable request is sent once more after a failure or when it takes
/// unusually long, within the budget for repeats. Of several runs the first good answer counts.
class dispatched_request : public served_request,
                           public std::enable_shared_from_this<dispatched_request> {
public:
    dispatched_request(dispatcher& owner, quota_desk& quotas, accepted_request accepted,
                       answer_function answer);

    void start();
    void cancel() override;

    void receive(const node_id& from, const place_message& message);
    void receive(const node_id& from, const decline_message& message);
    void receive(const node_id& from, const answer_message& message);
    void receive(const node_id& from, const failed_message& message);
    void on_unreachable(const node_id& node);
    void on_restarted(const node_id& node);

    bool is_running(run_id id, const node_id& node) const;
    bool awaits(const node_id& node) const;

private:
    struct reservation {
        bool has_reply = false;
        bool is_offer = false;
        /// Expected loss when offered, expected wait otherwise. The wait does not shrink with the
        /// time that has passed: a queue that was slower than expected is no closer to its end.
        std::chrono::milliseconds cost{0};
    };
    struct active_run {
        node_id vm;
        time_point started_at{};
        /// The link to the VM has failed and has not come back.
        time_point lost_at{};
    };

    void on_quota(const quota_decision& decision);
    void begin_round();
    void end_round();
    bool ask_more(std::size_t count);
    /// VMs of the service that are neither asked nor have declined in this round.
    std::vector<placement_candidate> unasked_vms() const;
    void decide();
    std::vector<placement_reply> replies() const;
    bool awaits_reply() const;
    /// Gives the slots of offers back, except one.
    void return_offers(const std::optional<node_id>& kept);
    void hand_over(const node_id& vm);
    void after_decline();
    void on_tick();
    void arm_tick();
    bool may_repeat(retry_reason reason);
    void fail_run(run_id id, const failed_message& message);
    void repeat_or_refuse(refusal_reason reason, ran executed, const std::string& detail);
    void deliver(const answer_message& message);
    void refuse(refusal_reason reason, ran executed, const std::string& detail);
    void finish(http_answer answer);
    void release_all();
    std::chrono::milliseconds expected_run() const;
    std::chrono::milliseconds start_within() const;
    std::chrono::milliseconds failure_cost() const;

    dispatcher& shared;
    quota_desk& quota;
    accepted_request accepted;
    answer_function answer_caller;
    boost::asio::steady_timer timer;
    run_id round = 0;
    std::map<node_id, reservation> reservations;
    /// VMs that declined or failed in this round.
    std::set<node_id> declined;
    /// VMs whose offer was returned in this round because waiting elsewhere was better.
    std::set<node_id> passed_over;
    std::map<run_id, active_run> runs;
    /// VMs whose upstream has had this request.
    std::set<node_id> tried;
    std::optional<answer_message> failed_answer;
    std::optional<std::chrono::milliseconds> shortest_wait;
    std::size_t runs_started = 0;
    /// A run has reached an upstream, or may have.
    bool was_sent = false;
    std::size_t repeats_declined = 0;
    std::size_t rounds_started = 0;
    /// When the round began or a VM last replied in it.
    time_point heard_at{};
    time_point next_ask{};
    /// Until when an offer may be held while other VMs are asked.
    time_point hold_until{};
    bool is_counted = false;
    bool was_overloaded = false;
    bool is_done = false;
};

} // namespace dragonflyroad
