#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/check_in_tracker.hpp"
#include "dispatch/cold_admission.hpp"
#include "dispatch/crash_guard.hpp"
#include "dispatch/memory_budget.hpp"
#include "dispatch/probation.hpp"
#include "dispatch/upstream_health.hpp"
#include "dispatch/upstream_memory.hpp"
#include "dispatch/upstream_retry_budget.hpp"
#include "dispatch/work_queue.hpp"
#include "mesh/http_client_pool.hpp"
#include "mesh/link_message.hpp"
#include "mesh/request_headers.hpp"

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Runs requests of this and other nodes at the upstream beside this node. All requests to this
/// upstream go through this class, so it knows how many slots are in use and holds the queue. A
/// node first reserves a slot without sending the request, is offered the slot once it is free, and
/// only then sends the request. A request that was not sent to this node was not executed here,
/// whatever failed before.
class upstream_runner {
public:
    using reply_function = std::function<void(const link_message&)>;

    /// Returns the number of upstreams of a service, 0 while it is unknown.
    using upstream_count_function = std::function<std::size_t(const service_name&)>;

    upstream_runner(boost::asio::io_context& loop, const header_names& names,
                    service_retry_limit bound, std::size_t memory_bytes,
                    upstream_count_function count, crash_guard& guard);

    /// Applies a check-in report of the upstream. The caller logs the verdict.
    check_in_verdict apply_check_in(const upstream_check_in& report);
    /// Deregisters the upstream with this id, and this start if the call states one. False when it
    /// is not the current one.
    bool deregister_upstream(const std::string& id, std::optional<std::int64_t> stated_start);
    /// Sets the function that is called after each accepted report and when the upstream has
    /// deregistered or another process has taken its address.
    void on_change(std::function<void()> function) { this->upstream_changed = std::move(function); }

    /// Sets the function that is called when the upstream has ended while it ran requests.
    void on_crash(std::function<void(const upstream_crash&)> function)
    {
        this->crash_found = std::move(function);
    }

    /// Sets the function that tells whether this node knows the fleet's entries. Before that it may
    /// not know that its data centre is evacuated or that a lifetime has left, so it takes no work
    /// for the upstream. Without a function it always does.
    void set_readiness(std::function<bool()> function) { this->is_informed = std::move(function); }
    /// Sets the function that returns the limit on work to a cold upstream of a service.
    void set_cold_limit(std::function<cold_limit(const service_name&)> function)
    {
        this->find_cold_limit = std::move(function);
    }
    /// Applies the present limit and the latest report to the work for a cold upstream.
    void update_cold_state();
    /// An operator evacuates this node's data centre, or takes that back. While it is evacuated,
    /// the upstream gets no new work; open runs continue. When it is taken back, the upstream is
    /// assumed to be cold.
    void set_evacuated(bool evacuated);

    /// The lifetimes of the upstream that have left or drain.
    departed_lifetimes departures() const { return this->reports.departures(); }
    /// Takes over the lifetimes that an earlier process of this node has recorded.
    void restore_departures(const departed_lifetimes& recorded);

    bool is_cold(time_point now) const { return this->pacing.is_cold(now); }
    /// Reservations declined, or offers withdrawn, because the data centre is evacuated.
    std::uint64_t evacuation_declines() const { return this->declined_by_evacuation; }
    /// Reservations that found a free slot and had to wait for the limit on a cold upstream.
    std::uint64_t cold_limit_waits() const { return this->waits_for_cold_limit; }
    /// Sets the budget from which the responses of the upstream are reserved until they are sent.
    void set_memory(std::shared_ptr<memory_budget> budget) { this->memory = std::move(budget); }

    /// The upstream if it accepts new work, otherwise nothing.
    std::optional<local_upstream> available_upstream() const;

    /// Handles a message of a node about its requests; `reply` sends messages back to that node.
    void receive(const node_id& from, link_message message, reply_function reply);
    /// Handles a new link from a node: replies use it from now on. The node is told the outcome of
    /// each run that its hello names, unless the run is still open.
    void on_link_opened(const node_id& from, const hello_message& hello, reply_function reply);
    /// Handles a closed link of a node: drops the node's reservations. Its runs continue,
    /// repeatable ones for at most 1.5 s without a new link.
    void on_link_closed(const node_id& from);

    /// Records that a call which the upstream made through this node has failed. The upstream's own
    /// failed answer that follows is not counted against its health.
    void record_nested_call_failure() { this->last_call_failure_at = boot_clock::now(); }

    /// Declines new work from now on; open runs continue.
    void begin_stop();
    /// Sets the function that tells whether a service as a whole rejects requests, as far as this
    /// node knows; see service_rejections.
    void set_rejection_view(std::function<bool(const service_name&)> function)
    {
        this->is_rejecting_widely = std::move(function);
    }
    /// Changes the limit on repeats; what was sent in the current window stays counted.
    void set_retry_limit(const service_retry_limit& bound)
    {
        this->service_retry_bound = bound;
        this->upstream_retries.set_limit(bound);
    }
    /// Whether the outcome of a run waits for a node whose link was lost and that will ask for it.
    bool has_undelivered_outcome(time_point now) const;
    /// Reports the outcome of each open run as unknown, because this process is about to end.
    void fail_open_runs();

    /// Probability that a call which the upstream makes now belongs to a repeated run. A call whose
    /// id extends that of an open run, separated by a dot, belongs to that run; for other calls it
    /// is the share of repeats among the open runs.
    double retry_share_of_call(std::string_view call_id) const;

    /// Slots that are offered or in use by runs.
    std::size_t busy_slot_count() const { return this->slots_in_use; }
    std::size_t held_body_bytes() const { return this->bodies.held_bytes(); }
    std::size_t queued_count() const { return this->queue.size(); }
    std::size_t slot_count() const
    {
        return this->reports.current() ? this->reports.current()->slots : 0;
    }
    /// Runs that were sent to the upstream since this process started.
    std::uint64_t runs_sent() const { return this->sent_runs; }
    std::uint64_t connections_opened() const { return this->pool.connections_opened(); }
    std::uint64_t foreign_responses() const { return this->pool.foreign_responses(); }

private:
    enum class stage { waiting, offered, running, done };

    /// Identifies a run. A restarted node numbers its runs from the beginning, so the id alone
    /// could be that of a run of its earlier process.
    struct run_key {
        node_id node;
        incarnation node_incarnation = 0;
        run_id id = 0;
        auto operator<=>(const run_key&) const = default;
    };

    struct run {
        run_key key;
        queue_ticket ticket = 0;
        reserve_message reservation;
        stage state = stage::waiting;
        time_point offered_until{};
        time_point started_at{};
        /// Deadline that the upstream was given.
        time_point deadline{};
        time_point forget_at{};
        bool is_cancelled = false;
        /// The request whose outcome decides whether the upstream stays on probation.
        bool is_trial = false;
        std::string request_id;
        std::uint64_t fingerprint = 0;
        std::shared_ptr<client_connection> connection;
        std::optional<link_message> outcome;
        /// Whether the outcome was sent on an open link.
        bool is_reported = false;
    };
    using run_pointer = std::shared_ptr<run>;

    struct peer {
        reply_function reply;
        incarnation peer_incarnation = 0;
        time_point detached_at{};
    };

    void reserve(const node_id& from, const reserve_message& message);
    void release(const run_key& key);
    void start_run(const node_id& from, const run_message& message);
    void cancel(const run_key& key);
    void offer(const run_pointer& entry);
    /// Decides on a reservation while the upstream is on probation: offers a slot for the next
    /// trial or declines.
    void reserve_on_probation(const run_pointer& entry);
    /// Ends all reservations, also those that were offered a slot.
    void decline_reserved(decline_reason reason);
    /// Ends the reservations and offers for another service than the present upstream's.
    void drop_reservations_of_other_services();
    bool is_service_rejecting() const;
    void record_fast_failure(const run_pointer& entry, bool is_rejection, time_point now);
    /// Frees the slot and the retry budget that an offer holds.
    void withdraw_offer(const run_pointer& entry);
    void offer_next();
    /// Declines a waiting reservation that was already removed from the queue.
    void decline(const run_pointer& entry, decline_reason reason);
    bool has_retry_room(const reserve_message& reservation, time_point now);
    void send_to_upstream(const run_pointer& entry, const run_message& message);
    client_exchange_request build_exchange(const run_pointer& entry,
                                           const run_message& message) const;
    void on_exchange_end(const run_pointer& entry, const client_exchange_result& result);
    /// Reserves memory for a response. When there is none, outcomes that were reported on an open
    /// link are forgotten.
    bool reserve_response(memory_reservation& reservation, std::size_t size);
    link_message classify_result(const run_pointer& entry, const client_exchange_result& result);
    void record_outcome(const run_pointer& entry, const link_message& outcome, bool may_be_stale);
    /// Keeps account of runs that end in a crash of the upstream.
    void watch_for_crash(const run_pointer& entry, const client_exchange_result& result);
    /// Checks after a pause whether the upstream still accepts connections.
    void check_for_crash();
    void report_crash(const local_upstream& ended);
    void handle_misdirected_request(const client_exchange_result& result);
    /// The key of a run of the node's present process.
    run_key key_of(const node_id& node, run_id id) const;
    /// Whether the process of the node that started the run is the one that opened the latest link.
    bool is_of_present_process(const run_key& key) const;
    /// Sends a message about a run to the process of the node that started it. False when there is
    /// no link to that process.
    bool reply_to(const run_key& key, const link_message& message);
    upstream_load_report load_report(time_point now) const;
    std::chrono::milliseconds reservation_cost(const reserve_message& reservation,
                                               time_point now) const;
    std::chrono::milliseconds max_run_overrun(time_point now) const;
    bool accepts_work(time_point now) const;
    /// Whether a slot is free and the limit on a cold upstream allows one more request.
    bool may_offer(time_point now) const;
    bool has_free_slot() const { return this->slots_in_use < this->max_slots_in_use(); }
    /// Requests a second that the upstream can serve while it is warm.
    double warm_capacity() const;
    std::size_t service_upstream_count() const;
    std::size_t max_slots_in_use() const;
    void tick();
    void arm_timer();
    void drop_reservations(const node_id& from);
    /// Cancels what other processes of the node have started, since their callers are gone.
    void cancel_runs_of_other_processes(const node_id& from);

    boost::asio::steady_timer timer;
    boost::asio::steady_timer crash_timer;
    crash_guard& crashes;
    const header_names& names;
    http_client_pool pool;
    check_in_tracker reports;
    upstream_health health;
    probation failing;
    service_retry_limit service_retry_bound;
    upstream_retry_budget upstream_retries;
    upstream_count_function upstream_count;
    work_queue queue;
    std::map<run_key, run_pointer> runs;
    std::map<queue_ticket, run_pointer> tickets;
    std::map<node_id, peer> peers;
    std::function<bool(const service_name&)> is_rejecting_widely;
    std::shared_ptr<memory_budget> memory;
    /// Bodies that are offered a slot or with the upstream.
    upstream_memory bodies;
    std::function<void()> upstream_changed;
    std::function<void(const upstream_crash&)> crash_found;
    queue_ticket last_ticket = 0;
    std::size_t slots_in_use = 0;
    std::uint64_t sent_runs = 0;
    /// The slots among these that are offered and not yet taken.
    std::size_t slots_offered = 0;
    time_point connect_backoff_until{};
    time_point last_call_failure_at{};
    /// When a request was last sent to the upstream.
    time_point last_run_at{};
    std::chrono::milliseconds typical_run{500};
    std::function<bool()> is_informed;
    std::function<cold_limit(const service_name&)> find_cold_limit;
    cold_admission pacing;
    std::uint64_t declined_by_evacuation = 0;
    std::uint64_t waits_for_cold_limit = 0;
    bool is_evacuated = false;
    bool is_stopping = false;
    bool is_checking_for_crash = false;
    time_point next_tick{};
};

} // namespace dragonflyroad
