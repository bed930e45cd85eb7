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

/// Something that happens to the model at a given time.
struct timed_event {
    enum class kind {
        /// `fault` begins or, with upstream_fault::none, ends at `upstream`.
        fault,
        /// `upstream` drains for a second and returns cold.
        restart,
        /// `upstream` is announced for the first time, cold.
        join,
        /// `upstream` is no longer announced.
        expire,
        /// All service times are multiplied by `value`.
        slowdown,
        /// The offered load is multiplied by `value`; all of the difference comes from one
        /// organisation.
        load,
        /// Nothing from `upstream` reaches `node` any more.
        deaf,
        /// Nothing from `node` reaches `upstream` any more.
        mute,
        /// All pooled connections to `upstream` become unresponsive; new ones work.
        silence,
        /// From now on, a client sends a request that crashes its upstream every 0.2 s.
        crashing_request,
        /// From now on, `node` tells its peers that `upstream` is bad, whatever it sees.
        rumour,
    };

    time_point at;
    kind what = kind::fault;
    std::size_t upstream = 0;
    std::size_t node = 0;
    double value = 1;
    upstream_fault fault = upstream_fault::none;
};

/// One run: a shape, a load and a schedule.
struct scenario {
    service_shape shape;
    std::uint64_t seed = 1;
    bool is_baseline = false;
    std::size_t nodes = 6;
    /// Share of the slots that are busy on average.
    double load = 0.5;
    double floor = 0.5;
    service_times times;
    double repeatable_share = 0.7;
    duration length = std::chrono::seconds{20};
    std::vector<timed_event> schedule;
};

/// Counts over one run.
struct run_counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    /// Refused as crash suspects, though the request crashes nothing.
    std::uint64_t innocent_suspects = 0;
    std::uint64_t duplicate_runs = 0;
    std::uint64_t untrue_refusals = 0;
    std::uint64_t crashes = 0;
    std::vector<double> latencies_ms;
};

/// Several nodes with separate views in front of the upstreams of one service. Event-driven on a
/// manual clock; the seed determines everything.
class fleet_model {
public:
    /// Called after each tick of a node.
    using observer = std::function<void(const fleet_model&, std::size_t node, time_point now)>;

    explicit fleet_model(const scenario& given);
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
    /// Whether the upstream was faulty at any time in the last second.
    bool was_faulty(std::size_t upstream) const
    {
        return this->is_faulty(upstream) || this->now < this->faulty_until[upstream];
    }
    /// Whether the upstream has been sound for ten seconds: longer than the first ejections and
    /// probations that a past fault justifies.
    bool is_settled(std::size_t upstream) const
    {
        return !this->is_faulty(upstream) &&
               this->now - this->sound_from[upstream] >= std::chrono::seconds{10};
    }
    bool is_cut(std::size_t node, std::size_t upstream) const
    {
        return this->cuts[node * this->upstreams.size() + upstream].any();
    }

    /// The model starts at a time other than the epoch, as a real clock does.
    static time_point start() { return time_point{std::chrono::seconds{1000}}; }

private:
    enum class step_kind : std::uint8_t {
        arrive,
        crash_client,
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

    struct cut {
        bool deaf = false;
        bool mute = false;
        bool any() const { return this->deaf || this->mute; }
    };

    struct node_state {
        std::unique_ptr<router> decisions;
        std::deque<std::uint32_t> waiting;
        std::deque<std::uint32_t> outstanding;
        std::vector<std::uint32_t> silent;
        std::optional<std::size_t> rumour;
    };

    void push(time_point at, step_kind kind, std::uint32_t subject,
              outcome_kind outcome = outcome_kind::success);
    void handle(const event& next, const observer& observe);
    void arrive();
    void admit(std::uint32_t number);
    bool try_start(std::uint32_t number);
    void refuse(std::uint32_t number, ran said);
    void deliver(std::uint32_t number);
    void serve(std::size_t upstream);
    void complete(std::uint32_t number);
    void reply(std::uint32_t number, outcome_kind outcome);
    void crash(std::size_t upstream);
    void fail_attempt(std::uint32_t number, outcome_kind outcome);
    void tick(std::size_t node, const observer& observe);
    void exchange_gossip(std::size_t node);
    gossip tell(std::size_t node) const;
    void apply(const timed_event& change);
    void announce(std::size_t upstream, upstream_state state);
    void start_waiting(node_state& node);
    duration link();
    cut& cut_of(std::size_t node, std::size_t upstream)
    {
        return this->cuts[node * this->upstreams.size() + upstream];
    }

    scenario plan;
    random_engine random;
    time_point now = start();
    time_point end;
    std::uint64_t order = 0;
    double load_factor = 1;
    std::uint64_t next_fingerprint = 1;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<upstream_model> upstreams;
    std::vector<std::uint32_t> incarnations;
    std::vector<bool> announced;
    std::vector<time_point> faulty_until;
    std::vector<time_point> sound_from;
    std::vector<node_state> nodes;
    std::vector<cut> cuts;
    std::vector<model_request> requests;
    std::vector<attempt_state> attempts;
    std::vector<std::vector<std::uint32_t>> held;
    std::vector<std::unordered_set<std::uint32_t>> at_upstream;
    run_counts counts;
};

} // namespace dragonflyroad::bench
