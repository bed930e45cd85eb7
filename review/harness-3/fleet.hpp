#pragma once

#include "store.hpp"
#include "target.hpp"

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// A process of the deploy file on a machine of its own, which is a loopback address.
class node_process {
public:
    struct options {
        std::string name;
        std::string zone;
        std::string service;
        std::string ip;
        address store;
        /// A folder for the settings file and the log.
        std::string folder;
        /// Only for the first start of the whole fleet.
        bool is_first_start = false;
        int memory_mb = 260;
    };

    explicit node_process(options wanted);

    bool start();
    /// Sends a signal to the process.
    void signal(int number);
    /// Waits until the process has ended. False when it goes on for longer than the limit.
    bool wait_for_end(milliseconds limit);
    bool is_running();
    bool is_ready() const;

    address outbound() const { return {this->settings.ip, 19803}; }
    address control() const { return {this->settings.ip, 19805}; }
    address app() const { return {this->settings.ip, 19801}; }
    const options& given() const { return this->settings; }
    pid_t id() const { return this->process; }

private:
    options settings;
    pid_t process = -1;
    int starts = 0;
};

/// Machines with a node and a target each, and the platform's store.
class fleet {
public:
    struct machine {
        std::string name;
        std::string zone;
        std::string service;
        int memory_mb = 260;
    };

    /// Starts everything and waits until each node is ready. False when that fails.
    bool start(const std::vector<machine>& wanted, const nlohmann::json& configuration);
    /// Kills all processes and removes the temporary folder.
    void end();

    platform_store store;
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<std::unique_ptr<target_server>> targets;

private:
    bool choose_addresses(std::size_t count);

    std::vector<std::string> ips;
    std::string folder;
};

/// A configuration as the operator writes it, without routes and tenants.
nlohmann::json empty_configuration(int version);

nlohmann::json route(const std::string& service, const std::string& kind);

/// Checks the environment and runs a case; `play` returns its exit code.
int run_case(const std::string& record_path, int (*play)(fleet&));

} // namespace review
