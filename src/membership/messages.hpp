#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/random.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflyroad {

/// Version of the datagrams between nodes. Another version is refused and counted.
constexpr std::uint32_t peer_protocol_version = 1;
/// Largest datagram with its signature; it fits one packet on every ordinary network.
constexpr std::size_t max_datagram_bytes = 1'200;

/// Makes the incarnation of a starting node. Records are ordered by incarnation, so a later start
/// must give a higher value: the upper 44 bits are the milliseconds of the wall clock, the lower 20
/// are random. A node that learns of a higher incarnation of its own name has to be given a new
/// one.
incarnation make_incarnation(std::chrono::system_clock::time_point started, random_engine& random);

/// How a node is reached. The owner raises `version` to refute a suspicion or to announce that it
/// leaves; of two cards the one with the higher (run, version) is valid.
struct peer_card {
    node_id node;
    incarnation run = 0;
    std::uint64_t version = 0;
    data_centre centre;
    /// "ip:port" of datagrams, of the peer port (JSON-RPC) and of the operators' port.
    std::string datagram_address;
    std::string rpc_address;
    std::string admin_address;
    bool leaving = false;

    bool operator==(const peer_card&) const = default;
};

/// "I received a message from this run so long ago." Runs are unique, so the name is left out.
struct heard_entry {
    incarnation run = 0;
    duration age{};

    bool operator==(const heard_entry&) const = default;
};

/// A node that did not answer repeated pings and that nobody else is known to hear. It is refuted
/// by a card of the same run with a higher version.
struct suspicion {
    incarnation run = 0;
    std::uint64_t version = 0;

    bool operator==(const suspicion&) const = default;
};

/// `gone` covers upstreams that deregistered and those whose renewals stopped.
enum class announced_state : std::uint8_t { serving, draining, gone };

/// An upstream as announced by the node on its VM; the highest (run, sequence) wins.
struct upstream_record {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 0;
    announced_state state = announced_state::serving;
    incarnation run = 0;
    std::uint64_t sequence = 0;

    bool operator==(const upstream_record&) const = default;
};

/// A request fingerprint during which an upstream crashed.
struct crash_report {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    duration age{};

    bool operator==(const crash_report&) const = default;
};

enum class upstream_verdict : std::uint8_t { well, slow, failing };

/// What one node's own requests say about an upstream.
struct ejection_report {
    upstream_id upstream;
    node_id reporter;
    upstream_verdict verdict = upstream_verdict::well;
    duration age{};

    bool operator==(const ejection_report&) const = default;
};

/// The part that pings and acknowledgements have in common. Ages are relative to the moment of
/// sending and are encoded in whole milliseconds, rounded up. Lists hold the newest entries first;
/// the codec drops entries from their ends when a message would become too long.
struct message_body {
    revision_number revision = 0;
    std::optional<duration> store_proof_age;
    std::uint64_t seat_version = 0;
    std::optional<duration> ledger_proof_age;
    std::vector<heard_entry> heard;
    std::vector<peer_card> cards;
    std::vector<suspicion> suspicions;
    std::vector<upstream_record> upstreams;
    std::vector<crash_report> crashes;
    std::vector<ejection_report> ejections;

    bool operator==(const message_body&) const = default;
};

/// A heartbeat.
struct ping {
    message_body body;
    /// Runs that the sender cannot reach: the receiver answers for those it hears, and pings the
    /// others on the sender's behalf.
    std::vector<incarnation> questions;
    /// The sender holds all upstream records of the receiver up to this sequence.
    std::uint64_t synced = 0;

    bool operator==(const ping&) const = default;
};

/// The answer to a ping.
struct ack {
    message_body body;
    /// The nonce of the ping. It proves the link in both directions.
    std::uint64_t echo = 0;
    /// Whether the acknowledgement counts as a witness's: false once the sender has consented to
    /// the reclaim of the receiver's seat.
    bool witness_promise = false;
    /// The body holds all of the sender's own upstream records above the ping's `synced` and up to
    /// this sequence.
    std::uint64_t synced_to = 0;

    bool operator==(const ack&) const = default;
};

/// One datagram.
struct peer_message {
    node_id sender;
    incarnation sender_run = 0;
    /// Zero in a ping to a node whose run is not known yet.
    incarnation destination_run = 0;
    /// Rises with each message of a run.
    std::uint64_t nonce = 0;
    std::variant<ping, ack> content;

    message_body& body();
    const message_body& body() const;
    bool operator==(const peer_message&) const = default;
};

} // namespace dragonflyroad
