#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "membership/announcements.hpp"
#include "membership/message_seal.hpp"
#include "membership/peer_table.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyroad {

/// Bytes to send to an "ip:port".
struct datagram {
    std::string address;
    std::string bytes;
};

struct membership_settings {
    peer_settings peers;
    announcement_settings announcements;
};

/// What follows from the passing of time.
struct membership_tick {
    std::vector<datagram> datagrams;
    std::vector<state_change> changes;
    duration paused{};
};

/// What follows from one received datagram.
struct membership_news {
    /// False when the datagram was refused; the reason is in last_failure() and counted.
    bool accepted = false;
    std::vector<datagram> datagrams;
    /// The sender, its revision and seat version. A node that is behind fetches from `rpc_address`;
    /// it is empty when the sender's card is not known yet.
    node_id from;
    std::string rpc_address;
    revision_number revision = 0;
    std::uint64_t seat_version = 0;
    std::optional<ack_evidence> evidence;
    /// Entries that were new to this node.
    std::vector<upstream_record> upstreams;
    std::vector<crash_report> crashes;
    std::vector<ejection_report> ejections;
};

/// Membership of one node: peers, gossip and announcements behind datagrams. The caller sends the
/// datagrams that it returns, and calls tick() at next_tick(), which can move forward with any
/// call. Not thread-safe: one controller owns it.
class fleet_membership {
public:
    fleet_membership(const peer_card& self, std::vector<std::string> seed_addresses,
                     std::string fleet_secret, membership_settings given = {});

    membership_tick tick(time_point now, random_engine& random);
    membership_news on_datagram(std::string_view bytes, time_point now, random_engine& random);
    time_point next_tick() const { return this->table.next_tick(); }

    /// States these facts from now on; a higher revision brings the next round forward.
    void set_facts(local_facts facts, time_point now);

    /// An upstream on the own VM announced or renewed itself, or deregistered.
    void announce(const upstream_offer& offer, time_point now);
    void withdraw(const upstream_id& upstream, time_point now);
    /// Records copied from a peer over JSON-RPC.
    void merge(const std::vector<upstream_record>& records, time_point now);
    /// A request to this upstream failed on the upstream's side.
    void note_failure(const upstream_id& upstream, time_point now);

    /// Own findings to spread.
    void report(const crash_report& crash, time_point now);
    void report(const ejection_report& ejection, time_point now);

    /// Announces the own shutdown: own upstreams drain, the card says `leaving`. Call tick() after
    /// it for as long as requests are being finished.
    void leave(time_point now);

    /// The same node as a later run, with the peers, upstream records and own upstreams of this
    /// one. Own upstreams count as renewed at `now`. Messages for the earlier run are refused.
    std::unique_ptr<fleet_membership> continue_as(incarnation run, time_point now) const;

    peer_table& peers() { return this->table; }
    const peer_table& peers() const { return this->table; }
    const announcement_table& announcements() const { return this->upstreams; }
    std::uint64_t refused(peer_refusal refusal) const { return this->seal.refused(refusal); }

private:
    /// Adds gossip and, to an acknowledgement, own records above `synced`; signs the message.
    datagram finish(outgoing_message& outgoing, std::uint64_t synced, time_point now);
    void follow(const std::vector<state_change>& changes, time_point now);
    void take_body(const peer_message& message, time_point now, membership_news& news);
    void spread(const upstream_record& record, time_point now);

    peer_table table;
    announcement_table upstreams;
    message_seal seal;
    std::vector<std::string> seeds;
    std::string secret;
    membership_settings settings;
    revision_number stated_revision = 0;
};

} // namespace dragonflyroad
