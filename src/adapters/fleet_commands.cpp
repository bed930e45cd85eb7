#include "adapters/fleet_commands.hpp"

#include "adapters/address.hpp"
#include "adapters/command_line.hpp"
#include "core/clock.hpp"

#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <httplib.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace dragonflyroad {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds request_timeout{2};
constexpr std::chrono::seconds rollout_timeout{11};
constexpr std::chrono::milliseconds poll_interval{100};

struct node_status {
    std::string name;
    std::string admin_address;
    std::string state;
    std::optional<revision_number> revision;
};

enum class request_method { get, post };

/// Sends a request to a node's admin address. Returns the body of a response with status 200, or
/// nothing.
std::optional<std::string> send_request(const std::string& address, request_method method,
                                        const std::string& path)
{
    const auto peer = parse_address(address);
    if (!peer) {
        return std::nullopt;
    }
    httplib::Client client{peer->ip, peer->port};
    client.set_connection_timeout(request_timeout);
    client.set_read_timeout(request_timeout);
    const auto response = method == request_method::get ? client.Get(path) : client.Post(path);
    return response && response->status == 200 ? std::optional{response->body} : std::nullopt;
}

/// Fetches a node's status. Returns nothing if there is no response or it is malformed.
std::optional<json> fetch_status(const std::string& address)
{
    const auto body = send_request(address, request_method::get, "/v1/status");
    if (!body) {
        return std::nullopt;
    }
    const json fields = json::parse(*body, nullptr, false);
    const bool is_valid = fields.is_object() && fields.contains("node") &&
                          fields["node"].is_string() && fields.contains("revision") &&
                          fields["revision"].is_number_unsigned();
    return is_valid ? std::optional{fields} : std::nullopt;
}

std::string string_field(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

void record_peers(const json& status, std::map<std::string, node_status>& nodes,
                  std::deque<std::string>& addresses_to_query)
{
    const auto peers = status.find("peers");
    if (peers == status.end() || !peers->is_array()) {
        return;
    }
    for (const json& peer : *peers) {
        const std::string address = string_field(peer, "admin_address");
        const std::string name = string_field(peer, "id");
        if (!name.empty() && nodes.try_emplace(name, node_status{name, address, "", {}}).second &&
            !address.empty()) {
            addresses_to_query.push_back(address);
        }
        nodes[name].state = string_field(peer, "state");
    }
}

/// Queries the nodes in the settings and, transitively, all nodes that they know.
std::map<std::string, node_status> discover_nodes(const operator_settings& settings)
{
    std::map<std::string, node_status> nodes;
    std::deque<std::string> addresses_to_query(settings.admin_addresses.begin(),
                                               settings.admin_addresses.end());
    std::set<std::string> queried_addresses;
    while (!addresses_to_query.empty()) {
        const std::string address = addresses_to_query.front();
        addresses_to_query.pop_front();
        if (!queried_addresses.insert(address).second) {
            continue;
        }
        const auto status = fetch_status(address);
        if (!status) {
            continue;
        }
        const std::string name = (*status)["node"].get<std::string>();
        nodes[name] = {name, address, "alive", (*status)["revision"].get<revision_number>()};
        record_peers(*status, nodes, addresses_to_query);
    }
    std::erase_if(nodes, [](const auto& entry) { return entry.second.name.empty(); });
    return nodes;
}

bool has_departed(const node_status& node)
{
    return !node.revision && (node.state == "left" || node.state == "lost");
}

std::vector<std::string> find_nodes_behind(const std::map<std::string, node_status>& nodes,
                                           revision_number revision)
{
    std::vector<std::string> names;
    for (const auto& [name, node] : nodes) {
        if (!has_departed(node) && node.revision.value_or(0) < revision) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

int run_status(const operator_settings& settings)
{
    const auto nodes = discover_nodes(settings);
    bool all_responded = !nodes.empty();
    for (const auto& [name, node] : nodes) {
        fmt::print("node={} state={} revision={} admin_address={}\n", name,
                   node.revision ? "answering" : node.state,
                   node.revision ? std::to_string(*node.revision) : "unknown", node.admin_address);
        all_responded = all_responded && (node.revision || has_departed(node));
    }
    if (nodes.empty()) {
        fmt::print(stderr, "no node of [admin] addresses answered\n");
    }
    return all_responded ? exit_done : exit_failed;
}

int wait_for_revision(const operator_settings& settings, revision_number revision)
{
    const time_point end = boot_clock::now() + rollout_timeout;
    while (true) {
        const auto nodes = discover_nodes(settings);
        const auto names = find_nodes_behind(nodes, revision);
        if (!nodes.empty() && names.empty()) {
            fmt::print("in force: revision {} on {} nodes\n", revision, nodes.size());
            return exit_done;
        }
        if (boot_clock::now() >= end) {
            fmt::print(stderr, "accepted, but not confirmed by: {}\n",
                       nodes.empty() ? "any node" : fmt::format("{}", fmt::join(names, ", ")));
            return exit_failed;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int run_explain(const operator_settings& settings, const std::string& request_id)
{
    for (const auto& [name, node] : discover_nodes(settings)) {
        const auto evidence =
            send_request(node.admin_address, request_method::get, "/v1/explain/" + request_id);
        if (evidence) {
            fmt::print("node={}\n{}\n", name, *evidence);
            return exit_done;
        }
    }
    fmt::print(stderr, "no node that answers knows the request {}\n", request_id);
    return exit_failed;
}

int run_confirm_lost(const operator_settings& settings, const std::string& node)
{
    for (const auto& [name, known] : discover_nodes(settings)) {
        if (name != node &&
            send_request(known.admin_address, request_method::post, "/v1/confirm-lost/" + node)) {
            fmt::print("confirmed: {} is lost, accepted by {}\n", node, name);
            return exit_done;
        }
    }
    fmt::print(stderr, "no node accepted the confirmation for {}; nothing was changed\n", node);
    return exit_failed;
}

} // namespace dragonflyroad
