#pragma once

#include "mesh/dispatched_request.hpp"
#include "mesh/dispatcher.hpp"
#include "mesh/quota_coordinator.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

/// Runs one request at a node. Messages to other VMs are recorded, and the test answers them in
/// place of the peers. VMs are named from "vm-0" on; node "keeper" holds the quota of organisation
/// "council".
class request_probe {
public:
    explicit request_probe(std::size_t vms);

    /// Starts a request. GET may be repeated; any other method runs at most once.
    /// The latency objective is 2 s.
    void start(const std::string& method, bool has_quota,
               std::chrono::milliseconds callers_time = std::chrono::seconds{5});
    void admit();

    void offer(const dragonflyroad::node_id& vm, std::chrono::milliseconds cost,
               const dragonflyroad::upstream_load_report& load = {});
    void wait_at(const dragonflyroad::node_id& vm, std::chrono::milliseconds wait);
    void decline(const dragonflyroad::node_id& vm, dragonflyroad::decline_reason reason);
    void fail(const dragonflyroad::node_id& vm);
    /// The link to the VM fails, and no new one can be opened.
    void lose_link(const dragonflyroad::node_id& vm);

    /// The first run at the VM ends with an answer.
    void answer_run(const dragonflyroad::node_id& vm);
    /// How often a new link to the VM was requested.
    std::size_t reconnects(const dragonflyroad::node_id& vm) const;

    /// Runs the event loop for this long.
    void pass(std::chrono::milliseconds time);
    /// Runs the event loop until the condition holds; false if it does not within two seconds.
    bool pass_until(const std::function<bool()>& condition);

    /// The nodes to which messages of this type were sent, in order.
    template<typename Message>
    std::vector<dragonflyroad::node_id> receivers() const
    {
        std::vector<dragonflyroad::node_id> nodes;
        for (const auto& [node, message] : this->sent) {
            if (std::holds_alternative<Message>(message)) {
                nodes.push_back(node);
            }
        }
        return nodes;
    }

    /// The last reservation request sent to a VM.
    dragonflyroad::reserve_message last_terms(const dragonflyroad::node_id& vm) const;

    std::optional<dragonflyroad::http_response> answer;

private:
    boost::asio::io_context context;
    dragonflyroad::header_names names;
    dragonflyroad::dispatcher shared;
    dragonflyroad::quota_coordinator quota;
    std::vector<std::pair<dragonflyroad::node_id, dragonflyroad::link_message>> sent;
    std::vector<dragonflyroad::node_id> reconnected;
    std::shared_ptr<dragonflyroad::dispatched_request> request;
};
