#pragma once

#include "adapters/store.hpp"
#include "config/model.hpp"
#include "node/node.hpp"

#include <functional>
#include <memory>
#include <string>

namespace dragonflyroad::test {

/// An in-memory store with conditional writes and watches.
class memory_store : public store {
public:
    std::optional<store_value> read(const std::string& key, time_point deadline) override;
    write_result write(const std::string& key, const std::string& bytes,
                       std::uint64_t expected_version, time_point deadline) override;
    std::optional<store_value> watch(const std::string& key, std::uint64_t after,
                                     time_point deadline) override;

    memory_store();

    /// Ends pending watches; later ones return at once.
    void end_watches();

private:
    struct shared_state;
    std::shared_ptr<shared_state> state;
};

/// A node in this process with one service "marks" under "/marks" and the organisation "acme" (key
/// "acme-key", rate and burst 1000). A test may change settings and configuration before start().
struct test_node {
    test_node();
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;
    test_node(test_node&&) = delete;
    test_node& operator=(test_node&&) = delete;
    ~test_node();

    /// Starts the node and waits until it has its configuration.
    void start();
    /// Writes the configuration with the next revision and waits until the node has adopted it.
    void publish();
    /// Announces an upstream of "marks" and checks that the node accepted it.
    void announce(const std::string& address, const std::string& state = "ready", int slots = 8);

    std::string caller() const { return this->running->caller_address(); }
    std::string admin() const { return this->running->admin_address(); }

    std::shared_ptr<memory_store> values = std::make_shared<memory_store>();
    configuration config;
    profile& rules();
    node_settings settings;
    decision_interfaces decisions;
    std::function<void(node_builder&)> adjust = [](node_builder&) {};
    std::unique_ptr<node> running;
};

/// Encodes a request. By default `headers` carries acme's key.
std::string request_text(const std::string& method, const std::string& target,
                         const std::string& headers = "Authorization: Bearer acme-key\r\n",
                         const std::string& body = {});

} // namespace dragonflyroad::test
