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

/// Version of the datagrams between nodes. Datagrams of another version are rejected and counted.
constexpr std::uint32_t peer_protocol_version = 1;
/// Maximum size of a datagram including its signature; chosen to fit into one packet on common
/// networks.
constexpr std::size_t max_datagram_bytes = 1'200;

/// Creates the incarnation of a starting node. Records are ordered by incarnation, so a later start
/// must get a higher value: the upper 44 bits hold the wall clock in milliseconds, the lower 20
/// bits are random. A node that learns of a higher incarnation under its own name must continue
/// under a new, still higher one.
incarnation make_incarnation(std::chrono::system_clock::time_point started, random_engine& random);

/// Descriptor of a node: identity, version and addresses. The node raises `version` to refute a
/// suspicion or to announce that it leaves. A descriptor with a higher (incarnation, version)
/// replaces the known one.
struct peer_descriptor {
    node_id node;
    incarnation node_incarnation = 0;
    std::uint64_t version = 0;
    data_centre centre;
    /// Addresses ("ip:port") for datagrams, for JSON-RPC between peers, and of the admin port.
    std::string datagram_address;
    std::string rpc_address;
    std::string admin_address;
    bool leaving = false;

    bool operator==(const peer_descriptor&) const = default;
};

/// How long ago the sender of this entry last received a message from the given incarnation. The
/// node name is omitted because incarnations are unique.
struct last_received_entry {
    incarnation node_incarnation = 0;
    duration age{};

    bool operator==(const last_received_entry&) const = default;
};

/// A node that left repeated pings unacknowledged and from which no other node is known to have
/// received a message recently. A descriptor of the same incarnation with a higher version refutes
/// the suspicion.
struct suspicion {
    incarnation node_incarnation = 0;
    std::uint64_t version = 0;

    bool operator==(const suspicion&) const = default;
};

/// `unregistered` marks a tombstone: the upstream deregistered, or its renewals stopped.
enum class announced_state : std::uint8_t { serving, draining, unregistered };

/// State of an upstream as announced by the node on its VM; the record with the highest
/// (incarnation, sequence) wins.
struct upstream_record {
    upstream_id upstream;
    service_name service;
    std::uint32_t slots = 0;
    announced_state state = announced_state::serving;
    incarnation node_incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const upstream_record&) const = default;
};

/// Reports that an upstream crashed while it executed a request with this fingerprint.
struct crash_report {
    std::uint64_t fingerprint = 0;
    upstream_id upstream;
    duration age{};

    bool operator==(const crash_report&) const = default;
};

enum class upstream_verdict : std::uint8_t { healthy, slow, failing };

/// Verdict on an upstream, based on the requests of the reporting node.
struct ejection_report {
    upstream_id upstream;
    node_id reporter;
    upstream_verdict verdict = upstream_verdict::healthy;
    duration age{};

    bool operator==(const ejection_report&) const = default;
};

/// Common part of pings and acknowledgements. Ages are relative to the time of sending and are
/// encoded in whole milliseconds, rounded up. Lists hold the newest entries first; the codec drops
/// entries from their ends if a message would become too long.
struct message_body {
    revision_number revision = 0;
    std::optional<duration> store_proof_age;
    std::uint64_t seat_version = 0;
    std::optional<duration> ledger_proof_age;
    std::vector<last_received_entry> last_received;
    std::vector<peer_descriptor> descriptors;
    std::vector<suspicion> suspicions;
    std::vector<upstream_record> upstreams;
    std::vector<crash_report> crashes;
    std::vector<ejection_report> ejections;

    bool operator==(const message_body&) const = default;
};

/// Heartbeat and probe of a peer.
struct ping {
    message_body body;
    /// Incarnations that the sender cannot reach. The receiver reports those from which it received
    /// messages recently, and pings the others on behalf of the sender (indirect probe).
    std::vector<incarnation> indirect_probes;
    /// The sender holds all upstream records of the receiver up to this sequence.
    std::uint64_t synced_sequence = 0;

    bool operator==(const ping&) const = default;
};

/// Acknowledgement of a ping.
struct ack {
    message_body body;
    /// Nonce of the acknowledged ping; proves that the link works in both directions.
    std::uint64_t acked_nonce = 0;
    /// Whether the sender promises, as a witness, that it has not consented to the reclaim of the
    /// receiver's seat. False once it has consented.
    bool witness_promise = false;
    /// The body holds all upstream records of the sender with a sequence above the
    /// `synced_sequence` of the ping and up to this one.
    std::uint64_t synced_to = 0;

    bool operator==(const ack&) const = default;
};

/// Content of one datagram.
struct peer_message {
    node_id sender;
    incarnation sender_incarnation = 0;
    /// Zero in a ping to a node whose incarnation is not known yet.
    incarnation destination_incarnation = 0;
    /// Increases with each message of an incarnation.
    std::uint64_t nonce = 0;
    std::variant<ping, ack> content;

    message_body& body();
    const message_body& body() const;
    bool operator==(const peer_message&) const = default;
};

} // namespace dragonflyroad
