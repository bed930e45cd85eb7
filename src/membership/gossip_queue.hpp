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

/// Largest number of entries of each kind in one datagram, and the spread of each entry.
struct gossip_settings {
    /// A datagram carries each entry this many times the base-2 logarithm of the fleet's size.
    double retransmit_factor = 1.5;
    std::size_t upstreams = 10;
    std::size_t crashes = 6;
    std::size_t ejections = 6;
    std::size_t cards = 3;
    std::size_t suspicions = 6;
    /// Entries of one kind that wait; beyond it the oldest is dropped.
    std::size_t max_waiting = 1'024;
    /// A report that repeats a known one within this time is not passed on: ages drift by the
    /// transit time of each hop, so that a report returning to a node looks slightly newer.
    duration repeat_interval = std::chrono::seconds{1};
};

/// How often one entry is sent in a fleet of this size; at least 2.
std::size_t retransmissions(double factor, std::size_t fleet_size);

/// What the next datagrams tell: each entry is sent a bounded number of times that grows with the
/// logarithm of the fleet's size, newest entries first.
class gossip_queue {
public:
    explicit gossip_queue(gossip_settings limits = {});

    /// Queues an upstream record, in place of an older record of the same upstream.
    void push(const upstream_record& record);
    void push(const peer_card& card);
    void push(const suspicion& doubt);
    /// Stops spreading a suspicion that was refuted.
    void withdraw_suspicion(incarnation run);

    /// Queues a report and returns true when it is new to this node; a repeated report is ignored.
    bool note(const crash_report& report, time_point now);
    bool note(const ejection_report& report, time_point now);

    /// Appends the next entries to a message that is about to be sent.
    void fill(message_body& body, std::size_t fleet_size, time_point now);

    /// Whether any entry still waits to be sent.
    bool empty() const;

private:
    using crash_key = std::pair<std::uint64_t, upstream_id>;
    using ejection_key = std::pair<upstream_id, node_id>;
    struct known_verdict {
        upstream_verdict verdict = upstream_verdict::well;
        time_point as_of;
    };

    void forget_reports(time_point now);

    gossip_settings limits;
    gossip_list<upstream_id, upstream_record> upstreams;
    gossip_list<node_id, peer_card> cards;
    gossip_list<incarnation, suspicion> suspicions;
    gossip_list<crash_key, crash_report> crashes;
    gossip_list<ejection_key, ejection_report> ejections;
    std::map<crash_key, time_point> known_crashes;
    std::map<ejection_key, known_verdict> known_ejections;
    time_point next_forget;
};

} // namespace dragonflyroad
