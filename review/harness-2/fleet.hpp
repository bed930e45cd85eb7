#pragma once

#include "store.hpp"
#include "target.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review2 {

/// The memory that the settings of a node allow, `memory_mb`.
constexpr std::size_t memory_limit_bytes = std::size_t{260} << 20U;

/// A node of the fleet as a process of its own, started with the command of the deploy file.
class node {
public:
    node(record& log, std::string node_name, std::string service, std::string zone_name);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Writes the settings file into the folder. `is_first` is the platform's `bootstrap`.
    void configure(const std::string& folder, const endpoint& store, bool is_first);
    void start();
    void signal(int number);
    /// Waits for the end of the process. False when it still runs after this time.
    bool wait_for_end(milliseconds time);
    /// Kills the process if it runs.
    void kill();
    /// Whether the process has ended by itself.
    bool has_ended();
    bool is_ready() const;
    /// Memory of the process in bytes, 0 when it does not run.
    std::size_t resident_bytes() const;

    std::string name;
    std::string service;
    std::string zone;
    std::string ip;
    endpoint outbound;
    endpoint inbound;
    endpoint ready;
    endpoint control;
    endpoint app;

private:
    record& journal;
    std::string settings_path;
    std::string output_path;
    pid_t process = 0;
    int end_status = 0;
};

/// A store, nodes and a folder for their files. The threads of the stand-ins use it until the
/// process ends, so it is never destroyed: end() ends the process.
class fleet {
public:
    explicit fleet(const std::string& record_path);

    node& add_node(const std::string& name, const std::string& service, const std::string& zone);
    target& add_target(node& beside, const std::string& instance, std::uint32_t slots,
                       target::plan_function plan);
    /// Ends all nodes, removes the folder and exits with this code.
    [[noreturn]] void end(int code);
    /// Starts all nodes and waits until they are ready. False when they are not within 15 s.
    bool start_nodes();

    record journal;
    store shared;
    endpoint store_address;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<target>> targets;

private:
    std::string folder;
};

/// A route of the operator's configuration.
struct route {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    std::string timeout = "8000ms";
    std::string objective = "2500ms";
    int max_attempts = 3;
};

/// The configuration as the operator writes it, without tenants.
std::string configuration(int version, const std::vector<route>& routes);

/// Polls until the condition holds. False when it doesn't within this time.
bool wait_until(milliseconds time, const std::function<bool()>& condition);

/// A fleet for the rest of the process.
fleet& make_fleet(const std::string& record_path);

/// Whether the disruption is to be left out: TROUBLE=0.
bool is_calm();

/// A request of a requester, on a new connection.
std::string client_request(const std::string& method, const std::string& path,
                           const std::string& id, milliseconds deadline);

} // namespace review2
