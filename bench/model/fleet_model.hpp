#pragma once

#include "bench/model/router.hpp"
#include "bench/model/shapes.hpp"
#include "bench/model/upstream_model.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_set>
#include <vector>

namespace dragonflyroad::bench {

/// An event of a scenario at a given time.
struct scheduled_event {
    enum class kind {
        /// `fault` begins at `upstream`; upstream_fault::none ends it.
        fault,
        /// `upstream` drains, and is announced again, cold, one second later.
        restart,
        /// `upstream` is announced for the first time, cold.
        join,
        /// The announcement of `upstream` expires.
        expire,
        /// All service times are multiplied by `value`.
        slowdown,
        /// The offered load is multiplied by `value`; all additional requests come from one
        /// organisation.
        load,
        /// From now on, responses of `upstream` do not reach `node`.
        drop_responses,
        /// From now on, requests of `node` do not reach `upstream`.
        drop_requests,
        /// All pooled connections to `upstream` hang; new connections work.
        hang_pooled_connections,
        /// From now on, a client sends a request every 0.2 s that crashes the upstream that runs
        /// it.
        crashing_request,
        /// From now on, `node` gossips evidence against `upstream`, whatever it observes.
        false_evidence,
    };

    time_point at;
    kind what = kind::fault;
    std::size_t upstream = 0;
    std::size_t node = 0;
    double value = 1;
    upstream_fault fault = upstream_fault::none;
};

/// Parameters of one run: service, load and schedule of events.
struct scenario {
    service_shape shape;
    std::uint64_t seed = 1;
    bool is_baseline = false;
    std::size_t nodes = 6;
    /// Share of the slots that are busy on average.
    double load = 0.5;
    /// Healthy capacity floor: share of the capacity that ejections must leave in rotation.
    double floor = 0.5;
    service_times times;
    double repeatable_share = 0.7;
    duration length = std::chrono::seconds{20};
    std::vector<scheduled_event> schedule;
};

/// Counts over one run.
struct run_counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    /// Requests refused as crash suspects although they do not crash upstreams.
    std::uint64_t false_crash_suspects = 0;
    /// Repeated runs of requests that must run at most once.
    std::uint64_t duplicate_runs = 0;
    /// Refusals that report `ran::no` although the request was run.
    std::uint64_t untrue_refusals = 0;
    std::uint64_t crashes = 0;
    std::vector<double> latencies_ms;
};

/// Discrete-event simulation, on a manual clock, of several nodes with separate views in front of
/// the upstreams of one service. A run is determined by its scenario, which includes the seed.
class fleet_model {
public:
    /// Called after each tick of a node.
    using observer = std::function<void(const fleet_model&, std::size_t node, time_point now)>;

    explicit fleet_model(const scenario& initial);
    fleet_model(const fleet_model&) = delete;
    fleet_model& operator=(const fleet_model&) = delete;
    fleet_model(fleet_model&&) = delete;
    fleet_model& operator=(fleet_model&&) = delete;
    ~fleet_model() = default;

    run_counts run(const observer& observe);

    const router& node(std::size_t number) const { return *this->nodes[number].decisions; }
    std::size_t node_count() const { return this->nodes.size(); }
    std::size_t upstream_count() const { return this->upstreams.size(); }
    bool is_announced(std::size_t upstream) const { return this->announced[upstream]; }
    bool is_faulty(std::size_t upstream) const
    {
        return this->upstreams[upstream].is_faulty(this->now);
    }
    /// Whether the upstream is faulty, was so within the last second, or restarted after a crash
    /// less than a second ago.
    bool was_recently_faulty(std::size_t upstream) const
    {
        return this->is_faulty(upstream) || this->now < this->faulty_until[upstream];
    }
    /// Whether the upstream is healthy and no fault, crashes not counted, was injected or ended
    /// there within the last ten seconds. The first ejections and probations that a past fault
    /// justifies are over by then.
    bool is_settled(std::size_t upstream) const
    {
        return !this->is_faulty(upstream) &&
               this->now - this->healthy_since[upstream] >= std::chrono::seconds{10};
    }
    bool is_partitioned(std::size_t node, std::size_t upstream) const
    {
        return this->cuts[node * this->upstreams.size() + upstream].is_cut();
    }

    /// Start time of the model. As with a real clock, it is not zero: a zero time point stands for
    /// "never".
    static time_point start() { return time_point{std::chrono::seconds{1000}}; }

private:
    enum class step_kind : std::uint8_t {
        arrive,
        crashing_arrival,
        deliver,
        complete,
        reply,
        tick,
        gossip,
        schedule
    };

    struct event {
        time_point at;
        std::uint64_t order;
        step_kind kind;
        std::uint32_t subject;
        outcome_kind outcome;
        bool operator>(const event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct attempt_state {
        std::uint32_t request = 0;
        std::uint32_t upstream = 0;
        std::uint32_t incarnation = 0;
        bool is_fresh = false;
        bool is_finished = false;
        bool has_run = false;
        time_point deadline;
    };

    struct network_cut {
        bool deaf = false;
        bool mute = false;
        bool is_cut() const { return this->deaf || this->mute; }
    };

    struct node_state {
        std::unique_ptr<router> decisions;
        std::deque<std::uint32_t> waiting;
        std::deque<std::uint32_t> outstanding;
        std::vector<std::uint32_t> hung_connections;
        std::optional<std::size_t> rumour;
    };

    void schedule_event(time_point at, step_kind kind, std::uint32_t subject,
                        outcome_kind outcome = outcome_kind::success);
    void handle_event(const event& next, const observer& observe);
    void add_arrival();
    void admit_request(std::uint32_t number);
    bool try_start_attempt(std::uint32_t number);
    void refuse_request(std::uint32_t number, ran reported);
    void deliver_attempt(std::uint32_t number);
    void start_queued_attempts(std::size_t upstream);
    void complete_run(std::uint32_t number);
    void receive_reply(std::uint32_t number, outcome_kind outcome);
    void crash_upstream(std::size_t upstream);
    void fail_attempt(std::uint32_t number, outcome_kind outcome);
    void run_tick(std::size_t node, const observer& observe);
    void exchange_gossip(std::size_t node);
    gossip_message make_gossip(std::size_t node) const;
    void apply_event(const scheduled_event& change);
    void announce(std::size_t upstream, upstream_state state);
    void start_queued_requests(node_state& node);
    duration draw_link_delay();
    network_cut& network_cut_between(std::size_t node, std::size_t upstream)
    {
        return this->cuts[node * this->upstreams.size() + upstream];
    }

    scenario plan;
    random_engine random;
    time_point now = start();
    time_point end;
    std::uint64_t next_event_order = 0;
    double load_factor = 1;
    std::uint64_t next_fingerprint = 1;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<upstream_model> upstreams;
    std::vector<std::uint32_t> incarnations;
    std::vector<bool> announced;
    std::vector<time_point> faulty_until;
    std::vector<time_point> healthy_since;
    std::vector<node_state> nodes;
    std::vector<network_cut> cuts;
    std::vector<model_request> requests;
    std::vector<attempt_state> attempts;
    std::vector<std::vector<std::uint32_t>> stalled_attempts;
    std::vector<std::unordered_set<std::uint32_t>> attempts_at_upstream;
    run_counts counts;
};

} // namespace dragonflyroad::bench
