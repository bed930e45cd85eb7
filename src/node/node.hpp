#pragma once

#include "adapters/settings.hpp"
#include "adapters/store.hpp"
#include "adapters/transport.hpp"
#include "core/ids.hpp"
#include "node/gates.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dragonflyroad {

/// One node: its ports, controllers and request path.
class node {
public:
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    /// The addresses that were bound.
    const std::string& caller_address() const;
    const std::string& admin_address() const;
    const std::string& peer_address() const;

    /// Waits until a configuration of at least that revision is in force; false at the deadline.
    bool wait_for_revision(revision_number revision, time_point deadline) const;

    /// Gracefully: announces leaving, keeps serving for the leave time, then refuses new requests
    /// and returns when no request is in flight. Further calls return at once.
    void stop();

private:
    friend class node_builder;
    struct parts;
    explicit node(std::unique_ptr<parts> assembled);

    std::unique_ptr<parts> impl;
};

/// Assembles a node. What is not given is built from the settings.
class node_builder {
public:
    explicit node_builder(node_settings values);
    node_builder(const node_builder&) = delete;
    node_builder& operator=(const node_builder&) = delete;
    node_builder(node_builder&&) = delete;
    node_builder& operator=(node_builder&&) = delete;
    ~node_builder();

    node_builder& with_store(std::shared_ptr<store> client);
    node_builder& with_transport(std::shared_ptr<transport> carrier);
    /// Replaces those decisions that are set.
    node_builder& with_gates(gates decisions);
    /// The identity of this run; random when not given.
    node_builder& with_incarnation(incarnation run);
    /// How long a stopping node still serves new requests, so that clients can move first.
    node_builder& with_leave_time(std::chrono::milliseconds time);
    /// Longest time a client may take to send a request.
    node_builder& with_request_timeout(std::chrono::milliseconds time);

    /// Starts the node; nothing when an address cannot be bound, see last_failure().
    std::unique_ptr<node> start();

private:
    node_settings settings;
    std::shared_ptr<store> store_client;
    std::shared_ptr<transport> carrier;
    gates decisions;
    std::optional<incarnation> run;
    std::chrono::milliseconds leave_time{1'000};
    std::chrono::milliseconds request_timeout{10'000};
};

} // namespace dragonflyroad
