#include "mesh/departure_recorder.hpp"
#include "platform/check_in.hpp"
#include "test/support/mesh_fleet.hpp"
#include "test/support/test_ports.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dragonflyroad;
using namespace std::chrono_literals;

namespace {

enum class way_to_leave { draining, deregistering };

/// A fleet whose VM 1 has a port for check-ins, as its upstream sees it.
struct leaving_fleet : mesh_fleet {
    explicit leaving_fleet(std::size_t count) : mesh_fleet(count)
    {
        this->upstream_calls.set_address(this->address);
        this->open_port();
    }

    void open_port()
    {
        this->check_ins = std::make_unique<event_loop_http_server>(
            this->context,
            platform::check_in_callbacks(*this->vms[1].node, this->vms[1].upstream_address));
        REQUIRE(this->check_ins->listen(this->address));
    }

    /// Status of the answer to the upstream's call; 0 when there was none within a second.
    int leave(way_to_leave way)
    {
        const std::string report =
            fmt::format(R"({{"address":"{}","born":1000,"info":{{"service":"books","slots":2}},)"
                        R"("status":{{"state":"draining","sequence":9}}}})",
                        this->vms[1].upstream_address);
        const std::string action = way == way_to_leave::draining ? "heartbeat" : "deregister";
        std::optional<client_exchange_result> result;
        client_exchange_request call;
        call.method = "POST";
        call.bytes =
            encode_request({"POST", "/instances/upstream-1/" + action, {{"Host", "node"}}}, report);
        call.deadline = boot_clock::now() + 1s;
        this->upstream_calls.start(std::move(call),
                                   [&](client_exchange_result end) { result = std::move(end); });
        this->run_until([&] { return result.has_value(); }, 2s);
        return result ? result->response.status : 0;
    }

    /// Another process of the node takes over, which knows only what others tell it, and a report
    /// of before the departure arrives there.
    void restart_and_report_late()
    {
        this->check_ins->close();
        this->restart_node(1);
        this->open_port();
        this->run_for(1'500ms);
        this->check_in(1, "ready", 2);
    }

    /// Runs at the departed upstream while no other one takes work.
    std::size_t runs_after_departure()
    {
        for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
            if (vm != 1) {
                this->check_in(vm, "draining", 50);
            }
        }
        this->run_for(200ms);
        const std::size_t before = this->vms[1].upstream->runs.size();
        for (int request = 0; request < 3; ++request) {
            this->exchange(0, "POST");
        }
        return this->vms[1].upstream->runs.size() - before;
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->run_until([] { return false; }, time);
    }

    std::string address = "127.0.0.1:" + std::to_string(first_test_port() + 90);
    std::unique_ptr<event_loop_http_server> check_ins;
    http_client_pool upstream_calls{this->context, 1U << 20U, 1U << 20U};
};

} // namespace

// Guards against a departure that was acknowledged and is forgotten with the process of the node,
// because the store turned that node away: unsafe requests reached an upstream that had left.
TEST_CASE("an acknowledged departure is known to the next process of a node that the store refused")
{
    for (const way_to_leave way : {way_to_leave::draining, way_to_leave::deregistering}) {
        CAPTURE(static_cast<int>(way));
        leaving_fleet fleet{3};
        fleet.vms[1].store->set_refused(true);
        REQUIRE(fleet.leave(way) == 200);
        fleet.restart_and_report_late();
        CHECK(fleet.runs_after_departure() == 0);
    }
}

// Guards against an acknowledgement that no process but the sender of it could keep: the store is
// away for all.
TEST_CASE("a departure is acknowledged once the store is back, and not before")
{
    for (const way_to_leave way : {way_to_leave::draining, way_to_leave::deregistering}) {
        CAPTURE(static_cast<int>(way));
        leaving_fleet fleet{2};
        fleet.store.set_down(true);
        CHECK(fleet.leave(way) == 503);
        CHECK(fleet.runs_after_departure() == 0);
        fleet.store.set_down(false);
        fleet.run_for(1'200ms);
        CHECK(fleet.leave(way) == 200);
        CHECK(fleet.store.value("dragonflyroad/left/vm-1") == R"({"upstream-1":1000})");
    }
}

// Guards against a record that is lost when the store goes back to an older copy after the process
// that wrote it has ended: the next process took the departed upstream for a new one.
TEST_CASE("a departure that the store has lost is written again by nodes that did not see it")
{
    const std::string key = "dragonflyroad/left/vm-1";
    for (const std::string copied : {"", R"({"earlier":900})"}) {
        CAPTURE(copied);
        leaving_fleet fleet{3};
        fleet.store.begin_eras();
        fleet.store.put("dragonflyroad/era", "1");
        if (!copied.empty()) {
            fleet.store.put(key, copied);
        }
        fleet.restart_node(1);
        fleet.vms[1].store->set_refused(true);
        fleet.run_for(1s);
        const auto older = fleet.store.take_copy();
        // Written by the process that has ended.
        fleet.store.put(key, R"({"upstream-1":1000})");
        fleet.run_for(600ms);
        fleet.store.go_back_to(older);
        CHECK(fleet.run_until(
            [&] {
                return departed_lifetimes::from_text(fleet.store.value(key).value_or(""))
                    .contains("upstream-1", 1000);
            },
            2s));
        CHECK((fleet.store.value(key).value_or("").find("earlier") != std::string::npos) ==
              !copied.empty());
        fleet.vms[1].store->set_refused(false);
        fleet.run_for(1'500ms);
        fleet.check_in(1, "ready", 2);
        CHECK(fleet.runs_after_departure() == 0);
    }
}

// Guards against records that a node writes in the name of another one.
TEST_CASE("a departure of a node is taken from that node only")
{
    leaving_fleet fleet{2};
    boost::asio::io_context& loop = fleet.context;
    departure_recorder::callbacks functions;
    functions.can_write = [] { return true; };
    functions.live_nodes = [] { return std::vector<node_id>{}; };
    functions.is_reachable = [](const node_id&) { return true; };
    functions.send = [](const node_id&, const link_message&) {};
    departure_recorder recorder{loop, fleet.store, fleet_keys{}, node_id{"vm-9"}, functions};
    const auto reply = [](const link_message&) {};
    recorder.receive(node_id{"vm-7"}, {node_id{"vm-8"}, R"({"i-1":5})", false, 0, 0ms}, reply);
    recorder.receive(node_id{"vm-7"}, {node_id{"vm-7"}, R"({"i-1":5})", false, 0, 0ms}, reply);
    fleet.run_for(300ms);
    CHECK(fleet.store.value("dragonflyroad/left/vm-7") == R"({"i-1":5})");
    CHECK_FALSE(fleet.store.value("dragonflyroad/left/vm-8").has_value());
}
