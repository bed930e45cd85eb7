#pragma once

#include "adapters/metrics.hpp"
#include "core/random.hpp"
#include "dispatch/placement.hpp"
#include "mesh/link_message.hpp"
#include "mesh/quota_desk.hpp"
#include "mesh/request_headers.hpp"
#include "mesh/routing_table.hpp"
#include "mesh/run_times.hpp"
#include "mesh/vm_directory.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad {

class dispatched_request;

/// What the requests of a node share while they look for an upstream. Messages about a request are
/// passed on to it by the number of its current round.
class dispatcher {
public:
    using send_function = std::function<void(const node_id&, const link_message&)>;

    dispatcher(boost::asio::io_context& loop, const header_names& header_set, node_id node,
               data_centre own_centre);

    void set_sender(send_function function) { this->sender = std::move(function); }

    /// Delivers a message of the node beside an upstream.
    void receive(const node_id& from, const link_message& message);
    /// No link to the node can be had at the moment.
    void on_unreachable(const node_id& node);
    /// The node has started again: the outcome of what it ran is not known.
    void on_restarted(const node_id& node);

    /// Runs handed to the node whose outcome is awaited.
    std::vector<run_id> open_runs(const node_id& node) const;
    /// Whether any reply of the node is awaited.
    bool awaits(const node_id& node) const;

    /// A number that no other round or question of this node has.
    run_id draw_id() { return ++this->last_round; }
    run_id register_round(const std::shared_ptr<dispatched_request>& request);
    void end_round(run_id id) { this->rounds.erase(id); }
    void send(const node_id& node, const link_message& message) { this->sender(node, message); }

    boost::asio::io_context& context;
    const header_names& names;
    const node_id self;
    const data_centre centre;
    random_engine random;
    vm_directory directory;
    placement places;
    run_times times;
    metrics counters;
    std::function<void(const node_id&)> reconnect;
    /// A call of the upstream on this VM has failed.
    std::function<void()> call_failed;

private:
    std::shared_ptr<dispatched_request> find(run_id id) const;
    std::vector<std::shared_ptr<dispatched_request>> requests() const;

    send_function sender;
    std::map<run_id, std::weak_ptr<dispatched_request>> rounds;
    run_id last_round = 0;
};

} // namespace dragonflyroad
