#pragma once

#include "adapters/metrics.hpp"
#include "core/random.hpp"
#include "dispatch/crash_guard.hpp"
#include "dispatch/door_admission.hpp"
#include "dispatch/service_load.hpp"
#include "dispatch/service_rejections.hpp"
#include "dispatch/vm_selector.hpp"
#include "mesh/link_message.hpp"
#include "mesh/node_directory.hpp"
#include "mesh/quota_coordinator.hpp"
#include "mesh/request_headers.hpp"
#include "mesh/routing_table.hpp"
#include "mesh/run_times.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace dragonflyroad {

class dispatched_request;

/// State shared by the requests that a node dispatches. Each message from another node carries the
/// id of a reservation round, by which the dispatcher finds the request that the message concerns.
/// A run keeps the id of its round.
class dispatcher {
public:
    using send_function = std::function<void(const node_id&, const link_message&)>;

    dispatcher(boost::asio::io_context& loop, const header_names& header_set, node_id node,
               data_centre own_centre);

    void set_sender(send_function function) { this->sender = std::move(function); }

    /// Delivers a message from the node beside an upstream to the request that it concerns.
    void receive(const node_id& from, const link_message& message);
    /// Notifies all requests that the link to the node failed or could not be opened.
    void on_unreachable(const node_id& node);
    /// Notifies all requests that a new link to the node is open.
    void on_reachable(const node_id& node);
    /// Notifies all requests that the node restarted, so that the outcome of its open runs is
    /// unknown.
    void on_restarted(const node_id& node);

    /// Ids of the runs at the node whose outcome is not known yet.
    std::vector<run_id> open_runs(const node_id& node) const;
    /// Whether the node still has to reply to a reservation or report the outcome of a run.
    bool awaits_reply_from(const node_id& node) const;

    /// Returns an id that is unique among the reservation rounds and quota requests of this node.
    run_id allocate_id() { return ++this->last_allocated_id; }
    run_id register_round(const std::shared_ptr<dispatched_request>& request);
    void unregister_round(run_id id) { this->rounds.erase(id); }
    /// Counts a request that was sent to an upstream of this node's or another data centre.
    void count_dispatch(bool is_same_centre)
    {
        ++(is_same_centre ? this->same_centre_dispatches : this->other_centre_dispatches);
    }
    void send(const node_id& node, const link_message& message) { this->sender(node, message); }

    boost::asio::io_context& context;
    const header_names& names;
    const node_id self;
    const data_centre centre;
    random_engine random;
    node_directory directory;
    vm_selector selector;
    service_load loads;
    door_admission door;
    service_rejections rejections;
    run_times run_time_means;
    crash_guard crashes;
    metrics counters;
    /// Requests refused on arrival, and runs that started too late to meet their objective.
    std::uint64_t rejected_at_door = 0;
    std::uint64_t late_starts = 0;
    std::function<void(const node_id&)> reconnect;
    /// Called when a call that the upstream on this VM made through this node has failed.
    std::function<void()> on_nested_call_failed;
    /// Time by which this node's requests must be answered because it stops; zero while it does
    /// not.
    time_point stop_at{};
    /// Probability that a call which the upstream on this VM makes, with this id, belongs to a
    /// repeated run.
    std::function<double(std::string_view call_id)> retry_share_of_call;

private:
    std::shared_ptr<dispatched_request> find(run_id id) const;
    std::vector<std::shared_ptr<dispatched_request>> requests() const;

    send_function sender;
    std::map<run_id, std::weak_ptr<dispatched_request>> rounds;
    run_id last_allocated_id = 0;
    std::uint64_t same_centre_dispatches = 0;
    std::uint64_t other_centre_dispatches = 0;
};

} // namespace dragonflyroad
