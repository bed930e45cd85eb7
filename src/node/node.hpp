#pragma once

#include "adapters/settings.hpp"
#include "adapters/store.hpp"
#include "adapters/transport.hpp"
#include "core/ids.hpp"
#include "node/decision_interfaces.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyroad {

/// A running node with its ports, controllers and request path.
class node {
public:
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    // The addresses that were bound.
    const std::string& caller_address() const;
    const std::string& admin_address() const;
    const std::string& peer_address() const;

    /// Waits until a configuration of at least that revision is published; false at the deadline.
    bool wait_for_revision(revision_number revision, time_point deadline) const;

    /// Shuts down gracefully: announces that the node leaves, keeps serving for the leave time,
    /// then refuses new requests, waits for those in flight, hands over its claims, leaves its seat
    /// and stops. Further calls return at once.
    void stop();

private:
    friend class node_builder;
    struct components;
    explicit node(std::unique_ptr<components> assembled);

    std::unique_ptr<components> impl;
};

/// Builds a node. The store must be given; for other components there are defaults.
class node_builder {
public:
    explicit node_builder(node_settings values);
    node_builder(const node_builder&) = delete;
    node_builder& operator=(const node_builder&) = delete;
    node_builder(node_builder&&) = delete;
    node_builder& operator=(node_builder&&) = delete;
    ~node_builder();

    node_builder& with_store(std::shared_ptr<store> client);
    node_builder& with_transport(std::shared_ptr<transport> upstream_client);
    /// Uses the given implementations instead of the default ones, except where they are null.
    node_builder& with_decisions(decision_interfaces decisions);
    /// Identifies this run; created from the wall clock and a random number if not given.
    node_builder& with_incarnation(incarnation run);
    /// How long a stopping node still serves new requests while clients move to other nodes.
    node_builder& with_leave_time(std::chrono::milliseconds time);
    /// Maximum time for a client to send a request's headers, and again for its body.
    node_builder& with_request_timeout(std::chrono::milliseconds time);

    /// Starts the node. Returns nullptr if an address cannot be bound; see last_failure().
    std::unique_ptr<node> start();

private:
    node_settings settings;
    std::shared_ptr<store> store_client;
    std::shared_ptr<transport> upstream_client;
    decision_interfaces decisions;
    std::optional<incarnation> run;
    std::chrono::milliseconds leave_time{1'000};
    std::chrono::milliseconds request_timeout{10'000};
};

} // namespace dragonflyroad
