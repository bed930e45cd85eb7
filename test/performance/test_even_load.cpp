#include "dispatch/vm_selector.hpp"

#include <algorithm>
#include <deque>
#include <numeric>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr std::chrono::milliseconds run_time{710};
constexpr std::chrono::milliseconds objective{2'500};
constexpr time_point end = start + 30s;

/// The load of one replay: requests arrive at random nodes, which all know the same reports of the
/// upstreams, renewed every `report_interval`.
struct load_pattern {
    std::size_t nodes = 94;
    std::vector<std::uint32_t> slots;
    std::chrono::milliseconds report_interval{1'000};
    /// Requests a second, as a share of what the upstreams can run.
    double utilisation = 0.3;
    /// Share of the requests that arrive at the first tenth of the nodes.
    double busy_node_share = 0.1;
    /// Share of the requests that arrive in each data centre. Nodes and upstreams are spread
    /// evenly.
    std::vector<double> demand{1.0 / 3, 1.0 / 3, 1.0 / 3};
};

struct upstream_state {
    node_id vm;
    std::uint32_t slots = 0;
    std::deque<time_point> run_ends;
    std::size_t served = 0;

    /// Starts a run as soon as a slot is free and returns when.
    time_point run(std::chrono::milliseconds elapsed, time_point now)
    {
        ++this->served;
        const std::size_t busy = this->run_ends.size();
        const time_point begin = busy < this->slots ? now : this->run_ends[busy - this->slots];
        this->run_ends.insert(std::ranges::upper_bound(this->run_ends, begin + elapsed),
                              begin + elapsed);
        return begin;
    }
    upstream_load_report report() const
    {
        const auto open = static_cast<std::uint32_t>(this->run_ends.size());
        const std::uint32_t busy = std::min(open, this->slots);
        return {busy, open - busy, this->slots, run_time};
    }
};

struct node_state {
    std::size_t centre = 0;
    service_load loads;
    vm_selector selector;
    service_candidates candidates;
    std::size_t next_turn = 0;
};

class load_replay;
/// Returns the index of the upstream that runs the request.
using strategy = std::size_t (*)(load_replay&, node_state&, time_point);

class load_replay {
public:
    load_replay(const load_pattern& load, std::uint64_t seed) : pattern(load), random(seed)
    {
        const std::size_t centres = load.demand.size();
        std::vector<vm_candidate> all;
        for (std::size_t index = 0; index < load.slots.size(); ++index) {
            this->upstreams.push_back(
                {node_id{fmt::format("vm-{}", index)}, load.slots[index], {}});
            all.push_back({this->upstreams.back().vm, false, false});
        }
        this->reported.resize(this->upstreams.size());
        this->nodes.resize(load.nodes);
        for (std::size_t index = 0; index < load.nodes; ++index) {
            this->nodes[index].centre = index % centres;
            for (std::size_t vm = 0; vm < all.size(); ++vm) {
                all[vm].is_same_centre = vm % centres == index % centres;
                all[vm].is_local_vm = vm == index;
            }
            this->nodes[index].candidates = service_candidates{all};
            this->nodes[index].next_turn = uniform_index(this->random, all.size());
        }
    }

    void play(strategy choose)
    {
        const double all_slots =
            std::accumulate(this->pattern.slots.begin(), this->pattern.slots.end(), 0.0);
        const double per_ms =
            this->pattern.utilisation * all_slots / static_cast<double>(run_time.count());
        time_point next_report = start;
        for (time_point now = start; now < end; now += 1ms) {
            if (now >= next_report) {
                this->renew_reports(now);
                next_report = now + this->pattern.report_interval;
            }
            // Up to four requests arrive in a millisecond.
            for (int slice = 0; slice < 4; ++slice) {
                if (uniform(this->random) < per_ms / 4) {
                    this->serve(choose, now);
                }
            }
        }
    }

    /// Requests at the busiest upstream over their mean, for each slot.
    double busiest_over_mean() const
    {
        double busiest = 0;
        double served = 0;
        double slots = 0;
        for (const upstream_state& upstream : this->upstreams) {
            const auto count = static_cast<double>(upstream.served);
            busiest = std::max(busiest, count / upstream.slots);
            served += count;
            slots += upstream.slots;
        }
        return busiest / (served / slots);
    }
    /// Share of the requests that started within half of their objective.
    double started_in_time() const { return this->in_time / this->requests; }
    double crossed() const { return this->crossings / this->requests; }

    load_pattern pattern;
    random_engine random;
    std::vector<upstream_state> upstreams;
    std::vector<upstream_load_report> reported;
    std::vector<node_state> nodes;

private:
    void renew_reports(time_point now)
    {
        for (std::size_t vm = 0; vm < this->upstreams.size(); ++vm) {
            this->settle(vm, now);
            this->reported[vm] = this->upstreams[vm].report();
        }
    }
    void settle(std::size_t vm, time_point now)
    {
        std::deque<time_point>& ends = this->upstreams[vm].run_ends;
        while (!ends.empty() && ends.front() <= now) {
            ends.pop_front();
        }
    }
    void serve(strategy choose, time_point now)
    {
        double drawn = uniform(this->random);
        std::size_t centre = 0;
        while (centre + 1 < this->pattern.demand.size() && drawn >= this->pattern.demand[centre]) {
            drawn -= this->pattern.demand[centre++];
        }
        const std::size_t centres = this->pattern.demand.size();
        const std::size_t rows = this->nodes.size() / centres;
        const std::size_t row =
            uniform_index(this->random, uniform(this->random) < this->pattern.busy_node_share
                                            ? std::max<std::size_t>(rows / 10, 1)
                                            : rows);
        for (std::size_t vm = 0; vm < this->upstreams.size(); ++vm) {
            this->settle(vm, now);
        }
        const std::size_t chosen = choose(*this, this->nodes[row * centres + centre], now);
        const auto elapsed = std::chrono::milliseconds{static_cast<int>(
            (0.5 + uniform(this->random)) * static_cast<double>(run_time.count()))};
        const time_point begin = this->upstreams[chosen].run(elapsed, now);
        this->in_time += begin - now <= objective / 2 ? 1 : 0;
        this->crossings += chosen % centres == centre ? 0 : 1;
        ++this->requests;
    }

    double in_time = 0;
    double crossings = 0;
    double requests = 0;
};

std::size_t by_chance(load_replay& replay, node_state&, time_point)
{
    return uniform_index(replay.random, replay.upstreams.size());
}

double reported_load(const load_replay& replay, std::size_t vm)
{
    const upstream_load_report& report = replay.reported[vm];
    return static_cast<double>(report.busy + report.waiting) / report.slots;
}

std::size_t least_reported(load_replay& replay, node_state&, time_point)
{
    std::size_t best = uniform_index(replay.random, replay.upstreams.size());
    for (std::size_t vm = 0; vm < replay.upstreams.size(); ++vm) {
        best = reported_load(replay, vm) < reported_load(replay, best) ? vm : best;
    }
    return best;
}

std::size_t two_choices_by_report(load_replay& replay, node_state&, time_point)
{
    const std::size_t first = uniform_index(replay.random, replay.upstreams.size());
    const std::size_t second = uniform_index(replay.random, replay.upstreams.size());
    return reported_load(replay, first) <= reported_load(replay, second) ? first : second;
}

/// The shortest expected wait in a sample of eight, from the reports and this node's own requests.
std::size_t sampled_wait(load_replay& replay, node_state& node, time_point now)
{
    std::size_t best = 0;
    double shortest = 1e9;
    for (int drawn = 0; drawn < 8; ++drawn) {
        const std::size_t vm = uniform_index(replay.random, replay.upstreams.size());
        const node_id& id = replay.upstreams[vm].vm;
        if (node.loads.report_age(id, now).value_or(1h) >= replay.pattern.report_interval) {
            node.loads.record(id, replay.reported[vm], now);
        }
        const double wait = static_cast<double>(node.loads.expected_wait(id, now)->count()) +
                            uniform(replay.random);
        if (wait < shortest) {
            shortest = wait;
            best = vm;
        }
    }
    node.loads.record_sent(replay.upstreams[best].vm, now);
    return best;
}

std::size_t in_turn(load_replay& replay, node_state& node, time_point)
{
    return node.next_turn++ % replay.upstreams.size();
}

std::size_t index_of(const node_id& vm)
{
    return std::stoul(vm.value.substr(3));
}

/// Asks two VMs that the selector chooses; while no upstream has a free slot, two more are asked,
/// up to eight, and the request queues at the shortest queue.
std::size_t ask_pairs(load_replay& replay, node_state& node, bool uses_reports, time_point now)
{
    std::vector<node_id> asked;
    std::vector<reservation_reply> replies;
    const auto is_asked = [&](const node_id& vm) { return std::ranges::count(asked, vm) > 0; };
    while (asked.size() < 8 && !cheapest_offer(replies)) {
        for (const node_id& vm : node.selector.choose(node.candidates, {2, 500, is_asked},
                                                      node.loads, replay.random, now)) {
            const std::size_t index = index_of(vm);
            const upstream_load_report load = replay.upstreams[index].report();
            const bool is_near = index % replay.pattern.demand.size() == node.centre;
            double cost = offer_load_cost(load) + (is_near ? 0 : other_centre_cost(500));
            if (uses_reports) {
                node.loads.record_sent(vm, now);
                node.loads.record(vm, load, now);
            }
            else {
                // The first reply wins: that of the node's own VM, otherwise of any.
                cost = &node == &replay.nodes[index] ? -1 : 0;
            }
            asked.push_back(vm);
            replies.push_back({vm, load.busy < load.slots, 0ms, cost});
        }
    }
    if (const auto offer = cheapest_offer(replies)) {
        return index_of(offer->vm);
    }
    return index_of(*std::ranges::min_element(asked, {}, [&](const node_id& vm) {
        return replay.upstreams[index_of(vm)].run_ends.size();
    }));
}

std::size_t take_first_offer(load_replay& replay, node_state& node, time_point now)
{
    return ask_pairs(replay, node, false, now);
}

std::size_t take_better_offer(load_replay& replay, node_state& node, time_point now)
{
    return ask_pairs(replay, node, true, now);
}

struct named_strategy {
    const char* name;
    strategy choose;
};

constexpr named_strategy strategies[] = {
    {"random", by_chance},
    {"least reported load", least_reported},
    {"two choices by report", two_choices_by_report},
    {"sampled expected wait", sampled_wait},
    {"in turn at each node", in_turn},
    {"ask two, take the first offer", take_first_offer},
    {"ask two, take the better offer", take_better_offer},
};

/// Prints the result of each strategy and returns that of the product, the last one.
load_replay compare(const load_pattern& pattern, std::uint64_t seed)
{
    std::string table;
    for (const named_strategy& each : strategies) {
        load_replay replay{pattern, seed};
        replay.play(each.choose);
        table +=
            fmt::format("\n  {:32} busiest/mean {:.2f}, in time {:.4f}, crossed {:.2f}", each.name,
                        replay.busiest_over_mean(), replay.started_in_time(), replay.crossed());
    }
    MESSAGE(fmt::format("{} nodes, {} upstreams, reports every {} ms, load {:.2f}:{}",
                        pattern.nodes, pattern.slots.size(), pattern.report_interval.count(),
                        pattern.utilisation, table));
    load_replay product{pattern, seed};
    product.play(strategies[std::size(strategies) - 1].choose);
    return product;
}

/// Greatest ratio of the busiest upstream to the mean that issue 28 allows.
constexpr double max_busiest_over_mean = 1.25;

} // namespace

// Guards against upstreams that are overrun in turns because all nodes choose from reports of the
// same age.
TEST_CASE("equal upstreams get even load whatever the number of nodes and the age of reports")
{
    for (const std::size_t nodes : {24U, 93U, 237U}) {
        for (const auto interval : {100ms, 1'000ms}) {
            load_pattern pattern;
            pattern.nodes = nodes;
            pattern.slots.assign(nodes / 12 * 3, 8);
            pattern.report_interval = interval;
            const auto replay = compare(pattern, 17);
            CHECK(replay.busiest_over_mean() <= max_busiest_over_mean);
            CHECK(replay.started_in_time() == 1.0);
        }
    }
}

// Guards against load in proportion to the number of upstreams where they differ in slots.
TEST_CASE("unequal upstreams get load in proportion to their slots")
{
    load_pattern pattern;
    pattern.utilisation = 0.8;
    for (std::size_t index = 0; index < 24; ++index) {
        pattern.slots.push_back(index / 3 % 2 == 0 ? 8 : 4);
    }
    const auto replay = compare(pattern, 17);
    CHECK(replay.busiest_over_mean() <= max_busiest_over_mean);
}

// Guards against requests that wait in a data centre with more demand than slots while others have
// free slots, and against traffic between data centres that no wait calls for.
TEST_CASE("requests leave their data centre only when it is full")
{
    load_pattern pattern;
    pattern.slots.assign(24, 8);
    pattern.demand = {0.44, 0.28, 0.28};
    pattern.utilisation = 0.5;
    CHECK(compare(pattern, 17).crossed() <= 0.01);
    pattern.utilisation = 0.9;
    const auto full = compare(pattern, 17);
    CHECK(full.busiest_over_mean() <= max_busiest_over_mean);
    CHECK(full.started_in_time() >= 0.99);
}

// Guards against nodes that send their callers' requests to the upstream beside them, so that the
// nodes with most callers overrun theirs.
TEST_CASE("load stays even when most requests arrive at a few nodes")
{
    load_pattern pattern;
    pattern.slots.assign(24, 8);
    pattern.busy_node_share = 0.6;
    const auto replay = compare(pattern, 17);
    CHECK(replay.busiest_over_mean() <= max_busiest_over_mean);
    CHECK(replay.started_in_time() == 1.0);
}
