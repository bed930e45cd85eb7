#include "mesh/fleet_view.hpp"
#include "platform/configuration_decoder.hpp"
#include "test/support/mesh_fleet.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

/// A fleet whose store states eras and has settled in the first one.
struct drilled_fleet : mesh_fleet {
    explicit drilled_fleet(std::size_t count) : mesh_fleet(count)
    {
        this->store.begin_eras();
        this->store.put("dragonflyroad/era", "1");
        this->run_for(1s);
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->run_until([] { return false; }, time);
    }

    std::size_t entries() const { return this->store.count("dragonflyroad/vm/"); }

    bool serves(std::size_t vm) { return this->exchange(vm, "GET").response.status == 200; }

    /// Number of quota groups for which the node may admit.
    int groups(std::size_t vm) const
    {
        const std::string name = "\ndragonflyroad_quota_groups_held ";
        const std::string text = this->vms[vm].node->metrics_text();
        const std::size_t at = text.find(name);
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size()));
    }

    std::uint64_t version(std::size_t vm) const { return this->vms[vm].node->report().revision; }
};

} // namespace

// Guards against nodes that ignore everything the store holds after it went back, since its
// revisions are lower than those they know, and against entries that stay lost.
TEST_CASE("after the store has gone back entries and groups are written again within two seconds")
{
    drilled_fleet fleet{3};
    // Raises the revision of the configuration above those that the store gives out again.
    for (int write = 0; write < 100; ++write) {
        fleet.configure("r1", {"first-key"});
    }
    fleet.run_for(300ms);
    fleet.store.go_back_to(memory_shared_store::copy{});
    CHECK(fleet.serves(0));
    CHECK(fleet.run_until(
        [&] {
            return fleet.entries() == 3 &&
                   fleet.store.count("dragonflyroad/quota/") == quota_group_count;
        },
        2s));
    CHECK(fleet.serves(1));
    CHECK(fleet.serves(2));
    fleet.configure("r2", {"first-key"});
    CHECK(fleet.run_until([&] { return fleet.version(2) == 2 && fleet.version(0) == 2; }, 2s));
}

// Guards against a report of a crash that is lost for the nodes that start later: the store has
// gone back after the end of the process that made it.
TEST_CASE("a crash report that the store has lost is written again by other nodes")
{
    drilled_fleet fleet{3};
    const auto older = fleet.store.take_copy();
    const std::string key = "dragonflyroad/crash/1a2b";
    const std::string report = upstream_crash{"vm-9/i-1", {7, 8}}.to_text();
    fleet.store.put(key, report, 77);
    fleet.store.put("dragonflyroad/crash/odd", "\xff no report", 77);
    fleet.run_for(300ms);
    fleet.store.go_back_to(older);
    CHECK(fleet.run_until([&] { return fleet.store.value(key) == report; }, 2s));
    const std::size_t commits = fleet.store.commits();
    fleet.run_for(1'500ms);
    // Only the era's mark is written then, not the report by each node.
    CHECK(fleet.store.commits() <= commits + 3);
    CHECK_FALSE(fleet.store.value("dragonflyroad/crash/odd").has_value());
}

// Guards against a configuration that regresses: the copy holds the one before.
TEST_CASE("a configuration in force stays when the store comes back with an older one")
{
    drilled_fleet fleet{2};
    const auto older = fleet.store.take_copy();
    fleet.configure("r2", {"second-key"});
    REQUIRE(fleet.run_until([&] { return fleet.version(0) == 2 && fleet.version(1) == 2; }, 3s));
    fleet.store.go_back_to(older);
    fleet.run_for(1'500ms);
    CHECK(fleet.version(0) == 2);
    CHECK(fleet.version(1) == 2);
    fleet.configure("r3", {"first-key"});
    CHECK(fleet.run_until([&] { return fleet.version(0) == 3 && fleet.version(1) == 3; }, 2s));
    CHECK(fleet.serves(1));
}

// Guards against a node that follows the ended era for as long as the store turns it away.
TEST_CASE("a node that the store turns away learns of the new era from another node")
{
    drilled_fleet fleet{3};
    const auto older = fleet.store.take_copy();
    fleet.vms[2].store->set_refused(true);
    fleet.store.go_back_to(older);
    CHECK(fleet.run_until([&] { return fleet.vms[2].store->era() == 2; }, 3s));
    fleet.configure("r2", {"first-key"});
    CHECK(fleet.run_until([&] { return fleet.version(2) == 2; }, 4s));
    CHECK(fleet.serves(2));
    fleet.vms[2].store->set_refused(false);
    CHECK(fleet.run_until([&] { return fleet.entries() == 3; }, 3s));
}

// Guards against a quota that is given out twice: the store has lost the claims of a holder that it
// turns away, and other nodes claim the groups.
TEST_CASE("a quota group has one holder while the former one is turned away in a new era")
{
    drilled_fleet fleet{3};
    const auto total = [&] { return fleet.groups(0) + fleet.groups(1) + fleet.groups(2); };
    REQUIRE(total() == static_cast<int>(quota_group_count));
    std::size_t holder = 0;
    for (std::size_t vm = 1; vm < 3; ++vm) {
        holder = fleet.groups(vm) > fleet.groups(holder) ? vm : holder;
    }
    fleet.vms[holder].store->set_refused(true);
    fleet.store.go_back_to(memory_shared_store::copy{});
    int most = 0;
    fleet.run_until(
        [&] {
            most = std::max(most, total());
            return false;
        },
        6s);
    CHECK(most == static_cast<int>(quota_group_count));
    CHECK(fleet.groups(holder) == 0);
    CHECK(total() == static_cast<int>(quota_group_count));
}

// Guards against state that is bound to the first of two eras.
TEST_CASE("two new eras in quick succession leave the fleet whole")
{
    drilled_fleet fleet{3};
    const auto older = fleet.store.take_copy();
    fleet.store.go_back_to(memory_shared_store::copy{});
    fleet.run_for(300ms);
    fleet.store.go_back_to(older);
    fleet.run_for(100ms);
    CHECK(fleet.serves(0));
    fleet.configure("r2", {"first-key"});
    CHECK(fleet.run_until(
        [&] {
            return fleet.entries() == 3 && fleet.version(0) == 2 && fleet.version(1) == 2 &&
                   fleet.version(2) == 2;
        },
        3s));
    CHECK(fleet.run_until([&] { return fleet.store.value("dragonflyroad/era") == "3"; }, 8s));
    CHECK(fleet.serves(2));
}

// Guards against a node that stays listed after it has ended: it stops while its lease is gone.
TEST_CASE("a node that stops while the store goes back is not listed afterwards")
{
    drilled_fleet fleet{3};
    const auto older = fleet.store.take_copy();
    bool is_stopped = false;
    fleet.store.go_back_to(older);
    fleet.vms[1].node->stop([&] { is_stopped = true; });
    CHECK(fleet.run_until([&] { return is_stopped; }, 7s));
    CHECK(fleet.run_until([&] { return fleet.entries() == 2; }, 1s));
    CHECK(fleet.serves(0));
    CHECK(fleet.serves(2));
}

// Guards against two chains of polls, and a read of a node that is not followed any more, when the
// time-out of a poll is due together with its reply.
TEST_CASE("the time-out of a poll that was answered does nothing")
{
    boost::asio::io_context loop;
    memory_shared_store store{loop};
    node_directory directory;
    std::vector<follow_message> polls;
    fleet_view::callbacks functions;
    functions.decode_configuration = platform::decode_configuration;
    functions.group_changed = [](std::size_t, const auto&, const store_position&) {};
    functions.own_entry_lost = [] {};
    functions.crash_reported = [](const std::string&, const std::string&) {};
    functions.entry_written = [](const node_id&) {};
    functions.changed = [] {};
    functions.send = [&](const node_id&, const link_message& message) {
        polls.push_back(std::get<follow_message>(message));
    };
    fleet_view view{loop, store, directory, "op/config", {}, functions};
    const auto entry = [](const std::string& name) {
        node_entry made;
        made.node = node_id{name};
        made.centre = data_centre{"ikeja"};
        return made;
    };
    // Of several nodes the one whose hash is lowest is followed; this node must not be that one.
    std::string own = "n0";
    change_source_selector probe{node_id{own}};
    random_engine random{1};
    const std::vector<node_id> both{node_id{"n0"}, node_id{"n1"}};
    if (!probe.choose(both, both, random, boot_clock::now())) {
        own = "n1";
    }
    directory.put(entry("n0"));
    directory.put(entry("n1"));
    store.set_down(true);
    view.start(entry(own), read_freshness::newest);
    while (polls.empty()) {
        loop.run_one_for(10ms);
    }
    // Both timers are due at the same time, and the one with the reply runs first.
    boost::asio::steady_timer reply_timer{loop, 1ms};
    reply_timer.async_wait([&](const boost::system::error_code&) {
        follow_reply_message reply;
        reply.nonce = polls.back().nonce;
        view.receive(node_id{own == "n0" ? "n1" : "n0"}, reply);
    });
    std::this_thread::sleep_for(1'100ms);
    store.set_down(false);
    const auto calls = [&] { return store.reads() + store.watches(); };
    const std::size_t before = calls();
    loop.poll();
    CHECK(calls() == before);
    loop.run_for(100ms);
    CHECK(calls() > before);
    view.stop();
}
