#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"
#include "core/shared_bytes.hpp"
#include "dispatch/upstream_load_report.hpp"
#include "dispatch/work_queue.hpp"
#include "mesh/shared_store.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflyroad {

/// Identifies a reservation round and the run that results from it, between the node that received
/// the request from its caller and the nodes that may run it. Also identifies quota requests.
/// Unique within one incarnation of the node that assigned it.
using run_id = std::uint64_t;

/// First message in each direction of a link.
struct hello_message {
    node_id node;
    incarnation node_incarnation = 0;
    /// The address at which the node accepts links, "ip:port".
    std::string address;
    /// Runs whose outcome the sender still waits for after the previous link was lost.
    std::vector<run_id> open_runs;
};

/// Asks to reserve a slot at the upstream beside the receiver. Carries nothing of the request
/// itself.
struct reserve_message {
    run_id id = 0;
    service_name service;
    organisation_id organisation;
    work_rank rank;
    bool is_repeatable = false;
    /// Probability that the request counts as a repeat in the retry budget: 1 when an upstream was
    /// sent this request before, otherwise the probability that a repeated run has made this call.
    double retry_share = 0;
    /// Whether an upstream on probation may be offered: every other one has declined.
    bool accepts_probation = false;
    /// Time within which the run must start: for a new request, so that the answer meets the
    /// latency objective; for a call made by an upstream, so that it meets the deadline.
    std::chrono::milliseconds start_within{0};
    /// Cost of a failed run, expressed as waiting time.
    std::chrono::milliseconds failure_cost{0};
    /// Mean run time of such requests over the whole service, as measured by the sender.
    std::chrono::milliseconds expected_run{0};
    /// Size of the request's body, which the upstream will hold.
    std::uint64_t body_bytes = 0;
    /// Time within which a start still allows an answer by the deadline, if that is later than
    /// `start_within`; 0 from a node of an earlier version.
    std::chrono::milliseconds late_start_within{0};
};

/// Cancels a reservation; no request was sent to the upstream for it.
struct release_reservation_message {
    run_id id = 0;
};

/// Reply to a reservation: a slot is held for the sender (offer), or the reservation is queued.
struct reservation_accepted_message {
    run_id id = 0;
    bool is_offer = false;
    /// For an offer the expected cost of running at this upstream, otherwise the expected wait in
    /// its queue plus that cost.
    std::chrono::milliseconds cost{0};
    upstream_load_report load{};
};

enum class decline_reason {
    overloaded,
    no_upstream,
    stopping,
    retry_budget_exhausted,
    /// The upstream fails most requests at once; see probation.
    on_probation
};

/// Reply to a reservation that is rejected or no longer kept.
struct reservation_declined_message {
    run_id id = 0;
    decline_reason reason = decline_reason::overloaded;
    /// Expected wait for a slot; 0 when the reservation had been queued.
    std::chrono::milliseconds wait{0};
    upstream_load_report load{};
};

/// Sends the request that uses an offered slot.
struct run_message {
    run_id id = 0;
    /// Time until the request's deadline.
    std::chrono::milliseconds time_left{0};
    request_head head;
    shared_bytes body;
    /// See request_fingerprint().
    std::uint64_t fingerprint = 0;
};

/// Cancels a run: its result is not needed any more, for example because the caller has
/// disconnected.
struct cancel_message {
    run_id id = 0;
};

/// The complete answer of the upstream.
struct response_message {
    run_id id = 0;
    int status = 0;
    http_headers headers;
    shared_bytes body;
    /// Run time at the upstream.
    std::chrono::milliseconds elapsed{0};
    upstream_load_report load{};
};

enum class run_failure {
    /// The request was not sent to the upstream.
    not_run,
    /// The upstream answered that it did not run the request.
    refused,
    /// The upstream may have run the request, but its answer was lost or incomplete, or the answer
    /// received is not the upstream's own.
    unknown,
};

/// A run ended without an answer that can be passed on to the caller.
struct failed_message {
    run_id id = 0;
    run_failure kind = run_failure::unknown;
    std::string detail;
    upstream_load_report load{};
};

/// Asks the holder of an organisation's quota to admit one request, directly or through a relay.
struct quota_request_message {
    run_id id = 0;
    organisation_id organisation;
    /// The sender cannot reach the holder, so the receiver is to ask it on the sender's behalf.
    bool is_relayed = false;
};

struct quota_reply_message {
    run_id id = 0;
    /// The quota's holder decided. If false, the asking node decides by itself.
    bool is_quota_holder = false;
    bool is_admitted = false;
    std::chrono::milliseconds retry_after{0};
};

/// Refunds the quota of an admitted request that was not run.
struct quota_refund_message {
    organisation_id organisation;
};

/// Long poll that asks a node for the changes of the store after a revision. The receiver may delay
/// its reply until there is a change.
struct follow_message {
    std::uint64_t nonce = 0;
    store_revision after = 0;
    revision_number configuration = 0;
    std::chrono::milliseconds wait{0};
    /// The sender cannot read the store, so it needs the configuration update even if it is large,
    /// and all items when it is behind by an era.
    bool wants_large_update = false;
    /// The era of `after`.
    store_era era = 0;
};

struct follow_reply_message {
    std::uint64_t nonce = 0;
    /// The sender knows every change up to this revision of the store.
    store_revision revision = 0;
    /// The history since the requested revision is incomplete: removals may be missing.
    bool is_history_lost = false;
    bool has_proof = false;
    /// Time since the sender last knew that nothing newer existed.
    std::chrono::milliseconds proof_age{0};
    revision_number configuration_revision = 0;
    /// Update of the configuration; see configuration_history. Empty when there is none, or when it
    /// is large and should be read from the store.
    std::string configuration;
    std::vector<stored_item> items;
    /// The era of `revision` and of the items.
    store_era era = 0;
    /// The items are all that the sender knows, so the receiver removes the others.
    bool is_whole = false;
};

/// States the departures at the upstream beside a node. The node that saw them tells others, so
/// that they write them to the store in its place; they answer with the same message once the store
/// holds them.
struct departure_message {
    node_id node;
    /// See departed_lifetimes::to_text().
    std::string departures;
    /// Whether the store of this era holds them.
    bool is_stored = false;
    store_era era = 0;
    /// Time for which the receiver leaves the write to others.
    std::chrono::milliseconds wait{0};
};

/// Probe and reply that detect a dead link while traffic is expected on it.
struct ping_message {};
struct pong_message {};

using link_message =
    std::variant<hello_message, reserve_message, release_reservation_message,
                 reservation_accepted_message, reservation_declined_message, run_message,
                 cancel_message, response_message, failed_message, quota_request_message,
                 quota_reply_message, quota_refund_message, follow_message, follow_reply_message,
                 ping_message, pong_message, departure_message>;

/// Maximum size of a message on a link: a request body of the default limit of 64 MiB, plus
/// headers.
constexpr std::size_t max_link_message_bytes = 72U << 20U;

/// Lengths on a link are big-endian numbers of this size.
constexpr std::size_t link_length_bytes = 4;

void append_length(std::string& bytes, std::size_t length);
/// Reads the length with which `bytes` begin.
std::size_t read_length(std::string_view bytes);

/// Maximum size of a message's head. The longest holds the whole configuration and the entries of
/// all nodes.
constexpr std::size_t max_link_head_bytes = 16U << 20U;

/// A message as it is sent: its head in CBOR, and the body of a request or response, which follows
/// as it is and is not copied.
struct encoded_link_message {
    std::string head;
    shared_bytes body;
};

encoded_link_message encode_link_parts(const link_message& message);

/// Decodes the head of a message whose body of this size follows; set_body() adds the body.
std::optional<link_message> decode_link_head(std::string_view head, std::size_t body_bytes,
                                             const std::string& peer);
void set_body(link_message& message, shared_bytes body);

/// Encodes a whole message, without the length prefix of the link: the size of its head, its head
/// and its body.
std::string encode_link_message(const link_message& message);

/// Nothing when the bytes are not a valid message; the reason is in last_failure().
std::optional<link_message> decode_link_message(std::string_view bytes, const std::string& peer);

} // namespace dragonflyroad
