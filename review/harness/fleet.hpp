#pragma once

#include "review/harness/store.hpp"
#include "review/harness/target.hpp"

#include <sys/types.h>

namespace review {

/// Settings of one node of the fleet.
struct node_options {
    std::string name;
    std::string service;
};

/// A process of the deploy file's role, with settings like those of the users' platform.
class node {
public:
    node(node_options initial, std::string machine_ip, std::string store_address,
         std::string folder);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node() { this->kill(); }

    /// Starts the process. `is_first` is true only when the whole fleet starts.
    void start(bool is_first);
    /// Sends SIGKILL and waits for the end of the process.
    void kill();
    void signal(int number) const;
    /// Writes the settings file with another service of the machine.
    void write_settings(const std::string& service, bool is_first) const;
    bool is_ready() const;
    /// The most memory that the process has used so far, in MB; 0 when it does not run.
    std::size_t peak_memory_mb() const;

    std::string outbound() const { return this->ip + ":19803"; }
    std::string control() const { return this->ip + ":19805"; }
    std::string app_address() const { return this->ip + ":19801"; }
    std::string ready() const { return this->ip + ":19804"; }
    const node_options& settings() const { return this->options; }

private:
    node_options options;
    std::string ip;
    std::string store;
    std::string path;
    std::string log_path;
    std::string process_list;
    pid_t process = 0;
};

/// The store and the nodes of a case, each on a loopback address of its own.
class fleet {
public:
    fleet(const std::vector<node_options>& wanted, const std::string& folder);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;
    ~fleet();

    /// Starts the store with this configuration and all nodes. False if they are not ready in time.
    bool start(const nlohmann::json& configuration);
    bool wait_until_ready();
    node& at(std::size_t index) { return *this->nodes.at(index); }
    std::size_t size() const { return this->nodes.size(); }
    store& platform() { return this->kept; }

private:
    std::string store_address;
    /// The file that names the started processes, for run.sh.
    std::string process_list;
    store kept;
    std::vector<std::unique_ptr<node>> nodes;
};

/// A route of a configuration.
struct route_options {
    std::string name;
    std::string service;
    std::string kind = "unsafe";
    std::string timeout = "5000ms";
    int max_attempts = 3;
};

/// A configuration without tenants; the host of each route is NAME.example and its prefix /NAME/.
nlohmann::json make_configuration(const std::string& version,
                                  const std::vector<route_options>& routes,
                                  std::size_t max_body_bytes = 1U << 20U);

/// A request on such a route.
request make_request(const std::string& method, const std::string& route, const std::string& id,
                     std::chrono::milliseconds deadline);

/// Runs a case: 0 if it held, 1 if the rule was broken, 2 if it could not run.
int run_case(const std::function<int()>& body);

void pause(std::chrono::milliseconds time);

} // namespace review
