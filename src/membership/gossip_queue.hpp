#pragma once

#include "core/clock.hpp"
#include "membership/gossip_list.hpp"
#include "membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dragonflyroad {

/// Limits of the gossip in one datagram, by kind of entry, and how often each entry is sent.
struct gossip_settings {
    /// Each entry is sent this factor times log2(fleet size + 1), rounded up.
    double retransmit_factor = 1.5;
    std::size_t upstreams = 10;
    std::size_t crashes = 6;
    std::size_t ejections = 6;
    std::size_t descriptors = 3;
    std::size_t suspicions = 6;
    /// Maximum number of queued entries of one kind; above it the oldest is dropped.
    std::size_t max_waiting = 1'024;
    /// A report that repeats a known one is forwarded only if it is newer by at least this. Ages do
    /// not include transit times, so a report that returns to a node looks slightly newer.
    duration repeat_interval = std::chrono::seconds{1};
};

/// Number of times that each entry is sent in a fleet of this size; at least 2.
std::size_t retransmissions(double factor, std::size_t fleet_size);

/// Queue of gossip for outgoing datagrams. Each entry is sent a bounded number of times that grows
/// with the logarithm of the fleet size, newest entries first.
class gossip_queue {
public:
    explicit gossip_queue(gossip_settings limits = {});

    /// Queues an entry and replaces a queued one of the same upstream, node or incarnation.
    void push(const upstream_record& record);
    void push(const peer_descriptor& descriptor);
    void push(const suspicion& suspected);
    /// Removes a refuted suspicion from the queue.
    void withdraw_suspicion(incarnation node_incarnation);

    /// Queues a report and returns true if it is new to this node. Repeated and outdated reports
    /// are ignored.
    bool push_if_new(const crash_report& report, time_point now);
    bool push_if_new(const ejection_report& report, time_point now);

    /// Appends the next entries to a message before it is sent; ages become relative to `now`.
    void fill(message_body& body, std::size_t fleet_size, time_point now);

    bool empty() const;

private:
    using crash_key = std::pair<std::uint64_t, upstream_id>;
    using ejection_key = std::pair<upstream_id, node_id>;
    struct known_verdict {
        upstream_verdict verdict = upstream_verdict::healthy;
        time_point as_of;
    };

    void expire_reports(time_point now);

    gossip_settings limits;
    gossip_list<upstream_id, upstream_record> upstreams;
    gossip_list<node_id, peer_descriptor> descriptors;
    gossip_list<incarnation, suspicion> suspicions;
    gossip_list<crash_key, crash_report> crashes;
    gossip_list<ejection_key, ejection_report> ejections;
    std::map<crash_key, time_point> known_crashes;
    std::map<ejection_key, known_verdict> known_ejections;
    time_point next_expiry;
};

} // namespace dragonflyroad
