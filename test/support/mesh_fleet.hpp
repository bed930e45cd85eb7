#pragma once

#include "memory_shared_store.hpp"
#include "mesh/http_client_pool.hpp"
#include "mesh/mesh_node.hpp"
#include "platform/node_settings.hpp"
#include "store_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

/// How the test's upstream responds to a request.
enum class upstream_behaviour { answers, answers_late, fails, refuses, never_answers };

/// An upstream in this process. By default it answers 200 with its name as body and echoes the
/// attempt id.
class loopback_upstream {
public:
    loopback_upstream(boost::asio::io_context& loop, std::string upstream_name);

    bool listen(const std::string& address) { return this->server.listen(address); }

    upstream_behaviour behaviour = upstream_behaviour::answers;
    std::vector<dragonflyroad::http_request> runs;
    std::size_t cancelled = 0;

private:
    friend class unanswered_run;

    std::shared_ptr<dragonflyroad::served_request> serve(const dragonflyroad::http_request& request,
                                                         dragonflyroad::response_function answer);

    boost::asio::io_context& context;
    std::string name;
    dragonflyroad::event_loop_http_server server;
};

/// A simulated VM: a node, its upstream and a client for the node.
struct loopback_vm {
    std::unique_ptr<loopback_upstream> upstream;
    std::unique_ptr<store_port> store;
    std::unique_ptr<dragonflyroad::mesh_node> node;
    std::string upstream_address;
    std::unique_ptr<dragonflyroad::http_client_pool> callers;
};

/// A fleet of nodes in one process on loopback, with one service and an in-memory store.
class mesh_fleet {
public:
    explicit mesh_fleet(std::size_t vms,
                        std::chrono::milliseconds stop_timeout = std::chrono::milliseconds{5'500});

    /// Runs the loop until the condition holds; false if it does not within `limit`.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds limit = std::chrono::seconds{8});

    /// Sends a request to a VM's node and waits for the result.
    dragonflyroad::client_exchange_result exchange(std::size_t vm, const std::string& method);
    std::shared_ptr<dragonflyroad::client_connection>
    start(std::size_t vm, const std::string& method,
          std::function<void(dragonflyroad::client_exchange_result)> done);

    /// Sends bytes to a VM's node on a new connection and calls `then` a moment later. Returns all
    /// that the node sends until it closes the connection.
    std::string converse(
        std::size_t vm, const std::string& bytes, const std::function<void()>& then = [] {});

    /// The id of the request that was sent last.
    const std::string& last_request_id() const { return this->last_id; }

    /// Writes a configuration in which `keys` are the API keys of the only organisation.
    void configure(const std::string& version, const std::vector<std::string>& keys);
    /// `born` tells the lifetimes of an upstream apart.
    void check_in(std::size_t vm, const std::string& state, std::int64_t sequence,
                  std::int64_t born = 1000, const std::string& cold_remaining = "0ms");
    /// Stops the VM's node and starts another process of it. The upstream runs on.
    void restart_node(std::size_t vm);
    std::size_t total_runs() const;

    /// Maximum idle time of a connection that callers use again; zero: each opens a new one.
    std::chrono::milliseconds callers_max_idle{0};

    boost::asio::io_context context;
    memory_shared_store store{context};
    std::vector<loopback_vm> vms;

private:
    std::string last_id;
    std::chrono::milliseconds node_stop_timeout;
    /// Nodes that have stopped; calls that they made may still return.
    std::vector<std::pair<std::unique_ptr<store_port>, std::unique_ptr<dragonflyroad::mesh_node>>>
        stopped_nodes;
};
