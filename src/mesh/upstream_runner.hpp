#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "dispatch/repeat_budget.hpp"
#include "dispatch/upstream_health.hpp"
#include "dispatch/upstream_reports.hpp"
#include "dispatch/work_queue.hpp"
#include "mesh/http_client_pool.hpp"
#include "mesh/link_message.hpp"
#include "mesh/request_headers.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Runs requests at the upstream beside this node, for itself and for other nodes. It is the only
/// sender to this upstream, so it knows which slots are in use and holds the queue. A request is
/// first reserved, without its content; when a slot is free it is offered, and only then handed
/// over. What was not handed over has not run, whatever fails on the way.
class upstream_runner {
public:
    using reply_function = std::function<void(const link_message&)>;

    /// How many upstreams a service has.
    using count_function = std::function<std::size_t(const service_name&)>;

    upstream_runner(boost::asio::io_context& loop, const header_names& names, repeat_limit bound,
                    count_function count);

    /// Takes a report of the upstream in. The caller logs the verdict.
    report_verdict report(const upstream_report& report);
    bool leave(const std::string& id);
    /// Called whenever the upstream that takes work changes.
    void on_change(std::function<void()> function) { this->changed = std::move(function); }

    /// The upstream that takes new work, or nothing.
    std::optional<local_upstream> serving() const;

    /// A message of a node about its requests, with the way to answer it.
    void receive(const node_id& from, link_message message, reply_function reply);
    /// A node has opened a link: answers go there now, and it asks for the runs named.
    void attach(const node_id& from, const hello_message& hello, reply_function reply);
    /// The link of a node has closed: its reservations are void, its runs go on.
    void detach(const node_id& from);

    /// A call that the upstream made through this node has failed. An upstream answers with a
    /// failure of its own then, which says nothing about it.
    void note_failed_call() { this->call_failed_at = boot_clock::now(); }

    /// Declines new work from now on; running work goes on.
    void begin_stop();

    std::size_t running() const { return this->in_use; }
    std::size_t waiting() const { return this->queue.size(); }
    std::uint64_t connections_opened() const { return this->pool.connections_opened(); }

private:
    enum class stage { waiting, offered, running, done };
    using run_key = std::pair<node_id, run_id>;

    struct run {
        run_key key;
        queue_ticket ticket = 0;
        reserve_message terms;
        stage state = stage::waiting;
        time_point offered_until{};
        time_point started_at{};
        /// When the upstream was told to give up.
        time_point deadline{};
        time_point forget_at{};
        bool is_cancelled = false;
        std::string request_id;
        std::shared_ptr<client_connection> connection;
        std::optional<link_message> outcome;
    };
    using run_pointer = std::shared_ptr<run>;

    struct peer {
        reply_function reply;
        incarnation run = 0;
        time_point detached_at{};
    };

    void reserve(const node_id& from, const reserve_message& message);
    void release(const run_key& key);
    void start(const node_id& from, const run_message& message);
    void cancel(const run_key& key);
    void offer(const run_pointer& entry);
    void offer_next();
    /// Ends a reservation that waits and is no longer in the queue.
    void decline(const run_pointer& entry, decline_reason reason);
    bool lacks_repeat_budget(const reserve_message& terms, time_point now);
    void send_to_upstream(const run_pointer& entry, const run_message& message);
    exchange_request build_exchange(const run_pointer& entry, const run_message& message) const;
    void on_exchange_end(const run_pointer& entry, exchange_result result);
    link_message judge(const run_pointer& entry, exchange_result result);
    void note_outcome(const run_pointer& entry, const link_message& outcome);
    void note_not_running(const exchange_result& result);
    void reply_to(const node_id& node, const link_message& message);
    std::chrono::milliseconds cost_of(const reserve_message& terms, time_point now) const;
    std::chrono::milliseconds oldest_overrun(time_point now) const;
    bool takes_work(time_point now) const;
    std::size_t service_size() const;
    std::size_t capacity() const;
    void tick();
    void arm_timer();
    void drop_reservations(const node_id& from);
    void forget_runs(const node_id& from);

    boost::asio::steady_timer timer;
    const header_names& names;
    http_client_pool pool;
    upstream_reports reports;
    upstream_health health;
    repeat_limit repeat_bound;
    repeat_budget repeats;
    count_function upstream_count;
    work_queue queue;
    std::map<run_key, run_pointer> runs;
    std::map<queue_ticket, run_pointer> tickets;
    std::map<node_id, peer> peers;
    std::function<void()> changed;
    queue_ticket last_ticket = 0;
    std::size_t in_use = 0;
    time_point refused_until{};
    time_point call_failed_at{};
    /// When a request was last sent to the upstream.
    time_point last_run_at{};
    std::chrono::milliseconds typical_run{500};
    bool is_stopping = false;
    time_point next_tick{};
};

} // namespace dragonflyroad
