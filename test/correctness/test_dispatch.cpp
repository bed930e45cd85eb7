#include "dispatch/change_source_selector.hpp"
#include "dispatch/check_in_tracker.hpp"
#include "dispatch/freshness_proof.hpp"
#include "dispatch/idle_reuse_limit.hpp"
#include "dispatch/organisation_quota.hpp"
#include "dispatch/upstream_health.hpp"
#include "dispatch/vm_selector.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

upstream_check_in make_report(std::int64_t sequence, std::int64_t started_at)
{
    upstream_check_in report;
    report.id = "first";
    report.address = "127.0.0.1:80";
    report.service = service_name{"books"};
    report.slots = 3;
    report.sequence = sequence;
    report.started_at = started_at;
    return report;
}

} // namespace

// Guards against a delayed report that puts a draining or departed upstream back into rotation.
TEST_CASE("outdated reports of an upstream are ignored")
{
    check_in_tracker reports;
    CHECK(reports.apply(make_report(4, 1000), start) == check_in_verdict::started);
    upstream_check_in draining = make_report(6, 1000);
    draining.state = check_in_state::draining;
    CHECK(reports.apply(draining, start) == check_in_verdict::accepted);
    CHECK(reports.apply(make_report(5, 1000), start) == check_in_verdict::outdated);
    CHECK(reports.current()->is_draining);
    CHECK(reports.record_deregistration("first"));
    CHECK(reports.apply(make_report(7, 1000), start) == check_in_verdict::outdated);
    CHECK_FALSE(reports.current().has_value());
}

// Guards against a late report of a lifetime whose deregistration was the first word to this
// process, and against a late deregistration that removes a later lifetime of the same id.
TEST_CASE("a deregistration that states its start concerns that lifetime only")
{
    check_in_tracker reports;
    CHECK_FALSE(reports.record_deregistration("first", 1000));
    CHECK(reports.apply(make_report(5, 1000), start) == check_in_verdict::outdated);
    CHECK(reports.apply(make_report(1, 2000), start) == check_in_verdict::started);
    CHECK_FALSE(reports.record_deregistration("first", 1000));
    REQUIRE(reports.current().has_value());
    CHECK(reports.record_deregistration("first", 2000));
    CHECK_FALSE(reports.current().has_value());
}

// Guards against a departed upstream that a late report brings back: it deregistered without
// stating its start at a process that had just started and had no report of it (DRAIN on
// ctmp-mesh-grown, hunt 4b3a1da7).
TEST_CASE("after a deregistration of an unknown start one report alone brings no work")
{
    check_in_tracker reports;
    CHECK_FALSE(reports.record_deregistration("first"));
    CHECK(reports.apply(make_report(15, 1000), start) == check_in_verdict::started);
    CHECK(reports.current()->is_withheld);
    CHECK(reports.apply(make_report(15, 1000), start) == check_in_verdict::outdated);
    CHECK(reports.current()->is_withheld);
    check_in_tracker next_process;
    next_process.apply(make_report(15, 1000), start);
    CHECK(next_process.restore(reports.departures()));
    CHECK(next_process.current()->is_withheld);
    CHECK(reports.apply(make_report(16, 1000), start) == check_in_verdict::accepted);
    CHECK_FALSE(reports.current()->is_withheld);
    CHECK(reports.record_deregistration("first"));
    CHECK(reports.apply(make_report(17, 1000), start) == check_in_verdict::outdated);
}

// Guards against ignoring a restarted upstream, which keeps its id and numbers its reports from one
// again, and against a report of an earlier run that replaces one of a later run.
TEST_CASE("the report with the later start time wins at any sequence number")
{
    check_in_tracker reports;
    reports.apply(make_report(40, 1000), start);
    CHECK(reports.apply(make_report(1, 2000), start) == check_in_verdict::started);
    CHECK(reports.apply(make_report(41, 1000), start) == check_in_verdict::outdated);
    CHECK(reports.current()->started_at == 2000);
}

// Guards against an upstream that keeps its work after its leaving was confirmed: it restarted
// under its id while its clock went back, so its reports count as those of an earlier start.
TEST_CASE("an earlier start that leaves withholds work until the later start reports again")
{
    check_in_tracker reports;
    reports.apply(make_report(40, 2000), start);
    upstream_check_in draining = make_report(2, 1000);
    draining.state = check_in_state::draining;
    CHECK(reports.apply(draining, start) == check_in_verdict::withheld);
    REQUIRE(reports.current().has_value());
    CHECK(reports.current()->is_withheld);
    CHECK(reports.departures().contains("first", 1000));
    CHECK_FALSE(reports.departures().contains("first", 2000));
    CHECK(reports.apply(make_report(40, 2000), start) == check_in_verdict::outdated);
    CHECK(reports.current()->is_withheld);
    CHECK(reports.apply(make_report(41, 2000), start) == check_in_verdict::accepted);
    CHECK_FALSE(reports.current()->is_withheld);
    CHECK_FALSE(reports.record_deregistration("first", 1500));
    CHECK(reports.current()->is_withheld);
    draining.id = "another";
    reports.apply(make_report(42, 2000), start);
    CHECK(reports.apply(draining, start) == check_in_verdict::outdated);
    CHECK_FALSE(reports.current()->is_withheld);
}

// Guards against acknowledged departures that take no effect, since the report came behind another
// one, and against those that are forgotten when another lifetime checks in.
TEST_CASE("a report that its sender drains counts whatever came before or comes after it")
{
    check_in_tracker reports;
    reports.apply(make_report(40, 2000), start);
    upstream_check_in draining = make_report(39, 2000);
    draining.state = check_in_state::draining;
    CHECK(reports.apply(draining, start) == check_in_verdict::accepted);
    CHECK(reports.current()->is_draining);
    CHECK(reports.apply(make_report(41, 2000), start) == check_in_verdict::accepted);
    CHECK(reports.current()->is_draining);
    CHECK(reports.apply(make_report(1, 3000), start) == check_in_verdict::started);
    CHECK_FALSE(reports.current()->is_draining);
    CHECK(reports.departures().contains("first", 2000));
    draining = make_report(7, 1500);
    draining.id = "former";
    draining.state = check_in_state::draining;
    CHECK(reports.apply(draining, start) == check_in_verdict::outdated);
    CHECK(reports.departures().contains("former", 1500));
}

// Guards against an upstream that fails every request at once and so attracts all traffic, because
// its slots are always free.
TEST_CASE("one failure makes an upstream cost more than a short wait at another one")
{
    upstream_health health;
    const auto cost = [&](time_point now) { return health.expected_cost(now, 200ms, 1000ms, 0ms); };
    CHECK(cost(start) == 0ms);
    health.record_failure(start);
    CHECK(cost(start) >= 500ms);
    CHECK(cost(start + 5s) < 25ms);
}

// Guards against avoiding healthy upstreams whose run times vary within their usual range.
TEST_CASE("run times within their usual range add no cost")
{
    upstream_health health;
    for (int run = 0; run < 50; ++run) {
        health.record_success(start + run * 100ms, run % 2 == 0 ? 60ms : 340ms, 200ms);
    }
    CHECK(health.expected_cost(start + 5s, 200ms, 1000ms, 0ms) == 0ms);
}

TEST_CASE("an upstream that is five times slower than usual or stalled has a high cost")
{
    upstream_health slow;
    for (int run = 0; run < 6; ++run) {
        slow.record_success(start + run * 200ms, 1000ms, 200ms);
    }
    CHECK(slow.expected_cost(start + 1200ms, 200ms, 1000ms, 0ms) > 200ms);
    const upstream_health stalled;
    CHECK(stalled.expected_cost(start, 200ms, 1000ms, 2000ms) >= 1500ms);
}

TEST_CASE("the offer of the lowest cost is accepted unless a wait elsewhere costs less")
{
    const node_id failing{"failing"};
    const node_id healthy{"healthy"};
    CHECK(best_offer({{failing, true, 600ms}, {healthy, true, 0ms}}) == healthy);
    CHECK(best_offer({{failing, true, 600ms}, {healthy, false, 900ms}}) == failing);
    CHECK_FALSE(best_offer({{failing, true, 600ms}, {healthy, false, 100ms}}).has_value());
    CHECK_FALSE(best_offer({}).has_value());
}

TEST_CASE("VMs that could not be reached are asked last")
{
    vm_selector places;
    random_engine random{1};
    const node_id down{"down"};
    const node_id other{"other"};
    places.record_unreachable(down, start);
    service_candidates both{{{down, true, false}, {other, false, false}}};
    CHECK(places.choose(both, {1, 0}, {}, random, start).front() == other);
    CHECK(places.is_unreachable(down, start));
    CHECK_FALSE(places.is_unreachable(down, start + 10s));
}

// Guards against large responses that cross data centres to save a few milliseconds of waiting:
// the traffic is billed and saturates the links of small VMs.
TEST_CASE("a large response stays in the local data centre unless the wait there is longer")
{
    vm_selector places;
    random_engine random{1};
    const node_id near{"near"};
    const node_id far{"far"};
    service_candidates both{{{near, true, false}, {far, false, false}}};
    places.record_cost(near, 40ms, start);
    CHECK(places.choose(both, {1, 500}, {}, random, start).front() == far);
    CHECK(places.choose(both, {1, 90'000}, {}, random, start).front() == near);
    places.record_cost(near, 400ms, start);
    CHECK(places.choose(both, {1, 90'000}, {}, random, start).front() == far);
}

// Guards against over-admission when one quota keeper succeeds another while isolated nodes admit
// on their own: the admissions of all of them must stay within the tolerance of the limit.
TEST_CASE("two successive quota keepers and isolated nodes stay within the tolerance in total")
{
    const quota_tolerance tolerance{};
    const organisation_limit limit{28, 28};
    const organisation_id organisation{"council"};
    const auto admitted_by = [&](lease_holder_rate_limiter& keeper, time_point from,
                                 time_point until) {
        std::size_t admitted = 0;
        for (time_point now = from; now < until; now += 5ms) {
            admitted += keeper.retry_after_unless_admitted(organisation, limit, now) ? 0 : 1;
        }
        return admitted;
    };
    lease_holder_rate_limiter first{tolerance};
    // The first keeper accumulates a full burst before the window.
    first.retry_after_unless_admitted(organisation, limit, start);
    const time_point window = start + 10s;
    std::size_t admitted = admitted_by(first, window, window + 2s);
    lease_holder_rate_limiter second{tolerance};
    admitted += admitted_by(second, window + 2s, window + 5s);
    constexpr std::size_t nodes = 95;
    for (std::size_t index = 0; index < nodes; ++index) {
        fallback_rate_limiter spare{node_id{"node-" + std::to_string(index)}, tolerance};
        for (time_point now = window; now < window + 5s; now += 50ms) {
            admitted += spare.try_admit(organisation, limit, nodes, now) ? 1 : 0;
        }
    }
    CHECK(static_cast<double>(admitted) <= 28 * 5 + 28 + tolerance.allowed_overage(limit));
}

TEST_CASE("an organisation within its rate is never refused by its keeper")
{
    lease_holder_rate_limiter keeper{quota_tolerance{}};
    const organisation_limit limit{10, 10};
    for (int request = 0; request < 200; ++request) {
        CHECK_FALSE(keeper.retry_after_unless_admitted(organisation_id{"a"}, limit,
                                                       start + request * 110ms));
    }
}

TEST_CASE("an unused admission that is returned is granted to the next request")
{
    lease_holder_rate_limiter keeper{quota_tolerance{}};
    const organisation_limit limit{1, 2};
    const organisation_id organisation{"a"};
    while (!keeper.retry_after_unless_admitted(organisation, limit, start)) {
    }
    keeper.refund_token(organisation, limit);
    CHECK_FALSE(keeper.retry_after_unless_admitted(organisation, limit, start).has_value());
}

// Guards against healthy upstreams that get no requests for seconds while requests are refused. A
// run takes longer while its calls are queued, which raises the expected cost of its upstream. The
// raised cost used to last for seconds without new evidence: 3 of 9 healthy upstreams had no
// request for 2 s (observed in ledgerworks-lagos-grown, trouble-3).
TEST_CASE("an upstream with somewhat longer runs still gets requests, and an idle one is probed")
{
    upstream_health health;
    for (int run = 0; run < 20; ++run) {
        health.record_success(start, 1900ms, 1000ms);
    }
    CHECK(health.expected_cost(start, 1000ms, 2500ms, 0ms) < 250ms);
    for (int run = 0; run < 20; ++run) {
        health.record_success(start, 4500ms, 1000ms);
    }
    const auto cost = health.expected_cost(start, 1000ms, 2500ms, 0ms);
    CHECK(cost > 2000ms);
    CHECK(cost_when_idle(cost, start, start + 1s) == cost);
    CHECK(cost_when_idle(cost, start, start + 2s) == 0ms);
}

// Guards against suspecting healthy upstreams on routes with a short timeout, where runs end at the
// deadline whatever the upstream does.
TEST_CASE("a run that had less than its usual time is no evidence against the upstream")
{
    CHECK(is_deadline_too_short(379ms, 380ms, 870ms));
    CHECK(is_deadline_too_short(365ms, 380ms, 870ms));
    CHECK_FALSE(is_deadline_too_short(2ms, 380ms, 870ms));
    CHECK_FALSE(is_deadline_too_short(4000ms, 4000ms, 870ms));
}

// Guards against requests that are lost on idle connections that the upstream has closed. After one
// loss, connections that have been idle for at least half as long as the lost one are not reused
// for a while.
TEST_CASE("a dropped connection shortens the idle time after which connections are reused")
{
    idle_reuse_limit patience;
    CHECK(patience.may_reuse(start, start + 1400ms));
    patience.record_stale_connection(start, start + 800ms);
    CHECK_FALSE(patience.may_reuse(start + 500ms, start + 1000ms));
    CHECK(patience.may_reuse(start + 700ms, start + 1000ms));
    patience.record_stale_connection(start + 1000ms, start + 1350ms);
    CHECK_FALSE(patience.may_reuse(start + 1800ms, start + 2000ms));
    CHECK(patience.may_reuse(start + 59s, start + 60s));
}

// Guards against a new connection for nearly every request after an upstream has failed for a
// second: its resets were taken for those of idle connections (observed in kerlann-atelier,
// quiet-1: 449 of 906 connections were opened for this reason).
TEST_CASE("resets of a failing upstream do not limit the reuse of connections")
{
    CHECK_FALSE(idle_reuse_limit::may_be_stale({}, start));
    CHECK_FALSE(idle_reuse_limit::may_be_stale(start, start + 20ms));
    CHECK(idle_reuse_limit::may_be_stale(start, start + 300ms));
    idle_reuse_limit patience;
    patience.record_stale_connection(start, start + 300ms);
    patience.record_fault(start + 400ms);
    CHECK(patience.may_reuse(start, start + 1400ms));
    patience.record_stale_connection(start + 10s, start + 10'300ms);
    patience.record_fault(start + 15s);
    CHECK_FALSE(patience.may_reuse(start + 15s, start + 15'200ms));
}

// Guards against withdrawn keys that stay valid on a node that was suspended or cannot reach the
// store.
TEST_CASE("a currency proof expires by its own age only")
{
    freshness_proof proof;
    CHECK_FALSE(proof.is_recent(start, 5s));
    proof.record_proof(start);
    proof.record_proof(start - 1s);
    CHECK(proof.is_recent(start + 4s, 5s));
    CHECK_FALSE(proof.is_recent(start + 5s, 5s));
}

TEST_CASE("one node of a data centre watches the store and is replaced when it is stale")
{
    const std::vector<node_id> nodes{node_id{"a"}, node_id{"b"}, node_id{"c"}, node_id{"d"}};
    random_engine random{1};
    std::vector<change_source_selector> choices;
    choices.reserve(nodes.size());
    for (const node_id& node : nodes) {
        choices.emplace_back(node);
    }
    std::vector<node_id> watchers;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (!choices[index].choose(nodes, nodes, random, start)) {
            watchers.push_back(nodes[index]);
        }
    }
    REQUIRE(watchers.size() == 1);
    std::size_t new_watchers = 0;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        choices[index].record_stale_node(watchers.front(), start);
        // Guards against a change that arrives after 2 s because a node follows several stale nodes
        // one after the other (found on ledgerworks-lagos, trouble-1 --seed 1059988783935).
        CHECK_FALSE(choices[index].choose(nodes, nodes, random, start).has_value());
        const auto source = choices[index].choose(nodes, nodes, random, start);
        CHECK(source != watchers.front());
        new_watchers += source || nodes[index] == watchers.front() ? 0 : 1;
    }
    CHECK(new_watchers == 1);
}

// Guards against calls to the store that grow with the fleet: they were the largest price on every
// day of the large site while one node of each data centre watched.
TEST_CASE("one node of the fleet watches the store and changes reach every node over at most two")
{
    constexpr std::size_t centres = 5;
    constexpr std::size_t nodes_per_centre = 40;
    std::vector<node_id> fleet;
    std::vector<std::vector<node_id>> members(centres);
    for (std::size_t index = 0; index < centres * nodes_per_centre; ++index) {
        fleet.emplace_back("node-" + std::to_string(index));
        members[index % centres].push_back(fleet.back());
    }
    random_engine random{1};
    std::map<node_id, std::optional<node_id>> sources;
    std::map<node_id, std::size_t> followers;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        change_source_selector choice{fleet[index]};
        const auto source = choice.choose(members[index % centres], fleet, random, start);
        sources[fleet[index]] = source;
        if (source) {
            ++followers[*source];
        }
    }
    std::size_t watchers = 0;
    for (const auto& [node, source] : sources) {
        watchers += source ? 0 : 1;
        std::size_t hops = 0;
        for (auto next = source; next && hops <= 2; next = sources.at(*next)) {
            ++hops;
        }
        CHECK(hops <= 2);
    }
    CHECK(watchers == 1);
    for (const auto& [node, count] : followers) {
        CHECK(count <= nodes_per_centre + centres);
    }
}

// Guards against a node that gets no changes because its calls to the store fail and its data
// centre has no other node to follow.
TEST_CASE("a watcher that cannot reach the store follows another node until its next attempt")
{
    const std::vector<node_id> alone{node_id{"a"}};
    const std::vector<node_id> fleet{node_id{"a"}, node_id{"b"}};
    random_engine random{1};
    change_source_selector choice{node_id{"a"}};
    choice.record_store_failure(start);
    CHECK(choice.choose(alone, fleet, random, start) == node_id{"b"});
    CHECK_FALSE(choice.choose(alone, fleet, random, start + 2s).has_value());
}
