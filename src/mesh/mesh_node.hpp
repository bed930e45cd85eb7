#pragma once

#include "mesh/admission.hpp"
#include "mesh/change_feed.hpp"
#include "mesh/crash_publisher.hpp"
#include "mesh/departure_recorder.hpp"
#include "mesh/dispatcher.hpp"
#include "mesh/event_loop_http_server.hpp"
#include "mesh/fleet_view.hpp"
#include "mesh/link_table.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/node_report.hpp"
#include "mesh/peer_listener.hpp"
#include "mesh/quota_coordinator.hpp"
#include "mesh/upstream_runner.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Settings of a node beside one upstream. The node's callers are on the same VM.
struct mesh_settings {
    node_id node;
    data_centre centre;
    /// The service of the upstream on this VM, sent as the caller's service to the upstreams that
    /// run its requests.
    service_name caller_service;
    std::string caller_address;
    std::string peer_address;
    /// Where operators fetch this node's report; published in its entry. Empty: nowhere.
    std::string report_address;
    quota_tolerance quota;
    service_retry_limit retry_limit;
    /// Overage and slack of the bound on work to a cold upstream; the rest is in the configuration.
    cold_limit cold_tolerance;
    /// Greatest age of the configuration's freshness proof at which requests with a key are served.
    std::chrono::milliseconds max_proof_age{4'700};
    /// Longest time from the stop signal to the end of the process.
    std::chrono::milliseconds stop_timeout{5'500};
    /// Whether the whole fleet starts for the first time, before its callers.
    bool is_first_start = false;
    /// Memory that the process may use.
    std::size_t memory_bytes = 256U << 20U;
    /// Descriptors that the process may use.
    std::size_t max_descriptors = 4'096;
    /// Store key of the operators' configuration.
    std::string configuration_key;
    fleet_keys keys;
    header_names names;
};

/// A node of the fleet beside an upstream. It accepts the requests of the callers on its VM,
/// reserves a slot for each at an upstream of the service and forwards the request to the node
/// beside that upstream. It also runs the requests that nodes forward to its own upstream.
/// Everything runs on one event loop.
class mesh_node {
public:
    mesh_node(boost::asio::io_context& loop, mesh_settings options, shared_store& store,
              fleet_view::decode_function decode);

    /// Returns false when an address cannot be bound; the reason is in last_failure().
    bool start();
    /// Stops accepting work for the upstream, waits for open requests within the stop timeout and
    /// then calls `stopped`.
    void stop(std::function<void()> stopped);

    /// Whether the node accepts callers: it has a configuration and is not stopping.
    bool is_ready() const;
    check_in_verdict apply_check_in(const upstream_check_in& report)
    {
        return this->runner.apply_check_in(report);
    }
    bool deregister_upstream(const std::string& id,
                             std::optional<std::int64_t> stated_start = std::nullopt)
    {
        return this->runner.deregister_upstream(id, stated_start);
    }

    /// Calls `done` with true once the store holds the departure of this start of the upstream, so
    /// that it is known after the end of this process; with false when it does not in time. No work
    /// is sent to a departed upstream whether or not its departure is recorded.
    void when_departure_recorded(const std::string& id, std::int64_t started_at,
                                 std::chrono::milliseconds limit,
                                 departure_recorder::recorded_function done)
    {
        this->departures.publish(this->runner.departures());
        this->departures.when_recorded(id, started_at, limit, std::move(done));
    }
    /// The start of the latest lifetime with this id that has left; nothing when there is none.
    std::optional<std::int64_t> departed_start(const std::string& id) const;

    /// Applies the settings that may change while the node runs: the tolerances of quotas and
    /// repeats, the greatest proof age and the duration of a stop. The others need a restart.
    void apply(const mesh_settings& changed);
    void set_settings_status(settings_status status)
    {
        this->settings_in_force = std::move(status);
    }
    const settings_status& settings_state() const { return this->settings_in_force; }
    /// What the node reports about the configuration and the settings in force.
    node_report report() const;

    const mesh_settings& settings() const { return this->options; }
    /// The bounds for the clients of a port other than that of the callers.
    client_bounds other_port_bounds() const;
    std::string metrics_text() const { return this->requests.counters.to_prometheus(); }

private:
    server_callbacks caller_callbacks();
    link_table::callbacks link_callbacks();
    quota_coordinator::callbacks quota_callbacks();
    fleet_view::callbacks view_callbacks(fleet_view::decode_function decode);
    node_registration::callbacks registration_callbacks();
    departure_recorder::callbacks departure_callbacks();
    node_entry own_entry() const;
    cold_limit cold_limit_of(const service_name& service) const;
    /// A random reachable node other than the holder and this node.
    std::optional<node_id> choose_reachable_relay(const node_id& holder);
    peer_listener::callbacks peer_callbacks();

    std::shared_ptr<served_request> serve(http_request request, time_point arrived,
                                          response_function answer);
    http_response refusal_response(const admission_refusal& refused);
    void send(const node_id& to, const link_message& message);
    void receive(const node_id& from, link_message message);
    void on_peer_message(const node_id& from, link_message message,
                         const upstream_runner::reply_function& reply);
    void publish();
    void on_crash_reported(const std::string& key, const std::string& value);
    void check_stop();
    /// Sends everything that is still to be sent and then ends the stop.
    void finish_stop();
    void register_metrics();
    void register_client_metrics();

    boost::asio::io_context& context;
    mesh_settings options;
    std::shared_ptr<memory_budget> memory;
    std::shared_ptr<client_counters> clients = std::make_shared<client_counters>();
    incarnation own_incarnation = 0;
    dispatcher requests;
    upstream_runner runner;
    shared_store& shared;
    node_registration registration;
    departure_recorder departures;
    crash_publisher crash_reports;
    fleet_view view;
    change_feed feed;
    quota_coordinator quota;
    link_table links;
    peer_listener peers;
    event_loop_http_server callers;
    boost::asio::steady_timer stop_timer;
    std::function<void()> stopped_callback;
    settings_status settings_in_force;
    time_point stop_started_at{};
    time_point stop_deadline{};
    /// The last answers are being sent and no request is taken any more.
    bool is_ending = false;
};

} // namespace dragonflyroad
