#include "platform/fleet_status.hpp"
#include "platform/settings_reloader.hpp"
#include "platform/wire_values.hpp"
#include "test/support/mesh_fleet.hpp"

#include "core/failure.hpp"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <thread>

#include <doctest/doctest.h>

using namespace dragonflyroad;
using namespace dragonflyroad::platform;
using namespace std::chrono_literals;

namespace {

/// A settings file as the platform writes it, with these texts as its bounds and a line for the
/// control address.
std::string settings_text(const std::string& bounds,
                          const std::string& control = "control = \"127.0.0.1:23004\"")
{
    return "node_name = \"vm-0\"\nzone = \"ikeja\"\nservice = \"books\"\nip = \"127.0.0.1\"\n"
           "app_address = \"127.0.0.1:23005\"\nbootstrap = false\nbounds = [" +
           bounds + "]\n[listen]\noutbound = \"127.0.0.1:23001\"\ninbound = \"127.0.0.1:23002\"\n" +
           control +
           "\nready = \"127.0.0.1:23003\"\n[limits]\nmemory_mb = 160\n"
           "[platform]\naddress = \"127.0.0.1:23006\"\n";
}

class temporary_file {
public:
    explicit temporary_file(const std::string& text) { this->write(text); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    ~temporary_file() { std::remove(this->path.c_str()); }

    void write(const std::string& text) const { std::ofstream{this->path} << text; }

    const std::string path = "/tmp/dragonflyroad-test-settings.toml";
};

std::string rejection_of(const std::string& text)
{
    return parse_platform_settings("node.toml", text) ? "" : last_failure().detail;
}

node_report current_report()
{
    node_report report;
    report.node = node_id{"vm-1"};
    report.centre = data_centre{"lekki"};
    report.is_ready = true;
    report.revision = 12;
    report.proof_age = 300ms;
    report.source = "vm-0";
    report.settings_checksum = "0011";
    return report;
}

/// Serves fixed bodies by path, on its own thread.
class fixed_server {
public:
    explicit fixed_server(const std::string& address, std::map<std::string, std::string> by_path)
        : bodies(std::move(by_path)),
          server(loop, server_callbacks{
                           [this](const http_request& request, time_point, response_function done) {
                               const auto& target = request.head.target;
                               for (const auto& [path, body] : this->bodies) {
                                   if (target.starts_with(path)) {
                                       done({200, {}, body, false});
                                       return std::shared_ptr<served_request>{};
                                   }
                               }
                               done({404, {}, "", false});
                               return std::shared_ptr<served_request>{};
                           },
                           [](const request_head&) { return false; },
                           [](decode_state) {
                               return http_response{400, {}, "", false};
                           },
                           [] { return caller_limits{}; }})
    {
        REQUIRE(this->server.listen(address));
        this->runner = std::thread{[this] { this->loop.run(); }};
    }
    fixed_server(const fixed_server&) = delete;
    fixed_server& operator=(const fixed_server&) = delete;
    fixed_server(fixed_server&&) = delete;
    fixed_server& operator=(fixed_server&&) = delete;
    ~fixed_server()
    {
        this->loop.stop();
        this->runner.join();
    }

private:
    boost::asio::io_context loop;
    std::map<std::string, std::string> bodies;
    event_loop_http_server server;
    std::thread runner;
};

std::string range_of(const std::vector<std::pair<std::string, std::string>>& items)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [key, value] : items) {
        rows.push_back({{"key", key}, {"value", encode_base64(value)}, {"revision", 5}});
    }
    return nlohmann::json{{"items", rows}, {"current_rev", 9}, {"has_more", false}}.dump();
}

std::string entry_of(const std::string& node, const std::string& report_address)
{
    node_entry entry;
    entry.node = node_id{node};
    entry.node_incarnation = 1;
    entry.address = "127.0.0.1:9";
    entry.centre = data_centre{node == "vm-0" ? "ikeja" : "lekki"};
    entry.report_address = report_address;
    return entry.to_text();
}

} // namespace

// Guards against operators who cannot tell why a settings file was refused.
TEST_CASE("a settings error names line, field, value and what is allowed")
{
    CHECK(rejection_of(settings_text("\"grace=6s\"")).empty());
    CHECK(rejection_of(settings_text("", "control = \"127.0.0.1:99999\"")) ==
          "line 11: listen.control: found \"127.0.0.1:99999\", allowed: ip:port with a port from 1 "
          "to 65535");
    CHECK(rejection_of(settings_text("", "")).find("line 8: listen.control: found nothing") !=
          std::string::npos);
    CHECK(rejection_of(settings_text("\"grace=soon\"")).find("grace=soon") != std::string::npos);
    CHECK(rejection_of("node_name = \"vm-0").find("line 1") != std::string::npos);
}

// Guards against a change of the settings that takes down connections, that is not noticed without
// a signal, or that leaves no settings in force.
TEST_CASE("a running node takes a good settings file, keeps the old one for a bad one, and serves")
{
    mesh_fleet fleet{1};
    mesh_node& node = *fleet.vms[0].node;
    const temporary_file file{settings_text("\"retry_budget_slack=60\"")};
    const auto initial = load_platform_settings(file.path);
    REQUIRE(initial.has_value());
    kv_store store{fleet.context, initial->store_address};
    settings_reloader reloader{fleet.context, node, store, file.path, *initial};
    CHECK(fleet.exchange(0, "GET").response.status == 200);

    file.write(settings_text("\"retry_budget_slack=none\""));
    reloader.reload();
    CHECK(node.report().settings_checksum == initial->checksum);
    CHECK(node.report().settings_rejection.find("line 7: bounds") != std::string::npos);
    CHECK(fleet.exchange(0, "GET").response.status == 200);

    file.write(settings_text("\"retry_budget_slack=120\",\"quota_slack=30\""));
    CHECK(fleet.run_until([&] { return node.settings().retry_limit.slack == 120; }, 3s));
    CHECK(node.report().settings_rejection.empty());
    CHECK(node.report().settings_checksum != initial->checksum);
    CHECK(node.settings_state().reloads == 1);
    CHECK(node.settings_state().rejections == 1);
    CHECK(fleet.exchange(0, "POST").response.status == 200);
}

// Guards against a node that is listed as up to date while it is not.
TEST_CASE("a node is behind with an old configuration, without a proof or with a refused file")
{
    const node_report current = current_report();
    const auto copy = node_report::from_text(current.to_text(), "vm-1");
    REQUIRE(copy.has_value());
    CHECK(copy->revision == 12);
    CHECK(copy->proof_age == 300ms);
    CHECK(reason_behind(*copy, 12).empty());
    CHECK(reason_behind(*copy, 13).find("12 instead of 13") != std::string::npos);
    node_report waiting = current;
    waiting.waits_for = "the store";
    CHECK(reason_behind(waiting, 12) == "waits for the store");
    node_report refused = current;
    refused.settings_rejection = "line 3: zone";
    CHECK(reason_behind(refused, 12).find("line 3: zone") != std::string::npos);
    CHECK_FALSE(node_report::from_text("{\"node\":7}", "vm-1").has_value());
}

// Guards against a fleet whose state cannot be read from outside: a node that does not answer and
// an entry that cannot be read are listed, not left out.
TEST_CASE("the fleet's status lists every node, those that are behind with the reason")
{
    const std::string configuration = R"({"version":"r12","routes":{}})";
    const fixed_server reports{"127.0.0.1:23008", {{"/report", current_report().to_text()}}};
    const fixed_server store{
        "127.0.0.1:23007",
        {{"/kv-range?prefix=op/config", range_of({{"op/config", configuration}})},
         {"/kv-range?prefix=dragonflyroad/vm/",
          range_of({{"dragonflyroad/vm/vm-0", entry_of("vm-0", "127.0.0.1:23009")},
                    {"dragonflyroad/vm/vm-1", entry_of("vm-1", "127.0.0.1:23008")},
                    {"dragonflyroad/vm/vm-2", "[[["}})}}};
    const auto fleet = read_fleet_status("127.0.0.1:23007", std::chrono::steady_clock::now() + 2s);
    REQUIRE(fleet.has_value());
    CHECK(fleet->newest == 12);
    REQUIRE(fleet->nodes.size() == 3);
    CHECK(fleet->is_any_behind());
    const std::string text = format_status(*fleet, true);
    CHECK(text.find("node=vm-0 centre=ikeja behind=\"its report cannot be fetched") !=
          std::string::npos);
    CHECK(text.find("node=vm-1") == std::string::npos);
    CHECK(text.find("node=vm-2") != std::string::npos);
    CHECK(text.find("centre=lekki newest=12 nodes=1 behind=0") != std::string::npos);
    CHECK(format_status(*fleet, false).find("node=vm-1 centre=lekki ready=true revision=12") !=
          std::string::npos);
    CHECK_FALSE(
        read_fleet_status("127.0.0.1:23010", std::chrono::steady_clock::now() + 1s).has_value());
}
