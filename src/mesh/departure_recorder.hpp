#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/retry_backoff.hpp"
#include "dispatch/departure_archive.hpp"
#include "mesh/link_message.hpp"
#include "mesh/node_registration.hpp"
#include "mesh/shared_store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dragonflyroad {

/// Keeps the departures of upstreams in the store, so that they outlast the processes that saw
/// them. This node writes what it has seen itself. At the same time it tells two other nodes, which
/// write it if the store turns this node away. After the store has come back from an older copy,
/// any node that knows a lost departure writes it again, as the one that saw it may have ended.
///
/// A write depends on the revision of the record, so one that the store executes late removes
/// nothing that was added meanwhile.
class departure_recorder {
public:
    using reply_function = std::function<void(const link_message&)>;
    using recorded_function = std::function<void(bool is_recorded)>;

    struct callbacks {
        /// Whether this node knows the items of the store's present era and the store answers it,
        /// as far as it knows.
        std::function<bool()> can_write;
        std::function<std::vector<node_id>()> live_nodes;
        std::function<bool(const node_id&)> is_reachable;
        std::function<void(const node_id&, const link_message&)> send;
    };

    departure_recorder(boost::asio::io_context& loop, shared_store& platform_store,
                       fleet_keys store_keys, node_id own, callbacks functions);

    /// Records the departures at the upstream beside this node.
    void publish(const departed_lifetimes& departures);

    /// Calls `done` once the store holds the departure at the upstream beside this node, or with
    /// false when it does not in time or when the node ends.
    void when_recorded(const std::string& id, std::int64_t started_at,
                       std::chrono::milliseconds limit, recorded_function done);

    /// Handles the record of a node as it was read from the store.
    void on_stored(const node_id& node, const std::string& value, const store_position& at);

    /// Handles the departures that a node has seen, or that it has written for this one; `reply`
    /// reaches that node.
    void receive(const node_id& from, const departure_message& message, reply_function reply);

    /// The store has begun another era, so it may have lost records.
    void begin_era();

    /// Answers what still waits, because the process is about to end.
    void stop();

private:
    struct pending_record {
        time_point due{};
        /// Tells the node that has asked for it that the store holds the record.
        reply_function answer;
    };

    struct waiting_call {
        std::string id;
        std::int64_t started_at = 0;
        time_point deadline{};
        recorded_function done;
    };

    /// Takes note of a new era of the store.
    void sync_era();
    /// Schedules the records that the store lacks and completes those that it holds.
    void update();
    void complete_calls();
    void tell_others();
    departure_message message_of(const node_id& node, bool is_stored) const;
    /// When this node writes a record that the store lacks, unless another node was faster.
    time_point due_of(const node_id& node, time_point now) const;
    void write_due(time_point now);
    void write(const node_id& node);
    void read(const node_id& node);
    /// Schedules the record again after a call that failed or has no known outcome.
    void on_call_failed(const node_id& node);
    void on_written(const node_id& node, const departed_lifetimes& written, commit_outcome outcome);
    void arm_timer();

    shared_store& store;
    fleet_keys keys;
    node_id self;
    callbacks handlers;
    boost::asio::steady_timer timer;
    departure_archive archive;
    std::optional<store_era> era;
    std::map<node_id, pending_record> pending;
    std::vector<waiting_call> waiting;
    /// The nodes that were told last.
    std::vector<node_id> told;
    time_point tell_again_at{};
    retry_backoff retry;
    bool is_calling_store = false;
    bool is_armed = false;
    bool is_stopped = false;
};

} // namespace dragonflyroad
