#pragma once

#include "adapters/http_message.hpp"
#include "core/ids.hpp"
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

/// Identifies a request between the node that took it from its caller and the nodes that may run
/// it; unique within one incarnation of the former.
using run_id = std::uint64_t;

/// First message in each direction of a link.
struct hello_message {
    node_id node;
    incarnation run = 0;
    /// Where the node accepts links.
    std::string address;
    /// Runs whose outcome the sender still waits for, after a lost link.
    std::vector<run_id> open_runs;
};

/// Asks for a place at the upstream beside the receiver. Nothing of the request is sent yet.
struct reserve_message {
    run_id id = 0;
    service_name service;
    organisation_id organisation;
    work_rank rank;
    bool is_repeatable = false;
    /// An upstream has been sent this request before, so that it draws on the budget for repeats.
    bool is_repeat = false;
    /// Time in which the run must start to answer within its objective.
    std::chrono::milliseconds start_within{0};
    /// What a failure of the run would lose, as an equivalent of waiting time.
    std::chrono::milliseconds failure_cost{0};
    /// Mean run time of such requests over the whole service, as the sender sees it.
    std::chrono::milliseconds expected_run{0};
};

/// Takes a reservation back; nothing was sent to the upstream under it.
struct release_message {
    run_id id = 0;
};

/// Reply to a reservation: a slot is held (offer) or the request waits.
struct place_message {
    run_id id = 0;
    bool is_offer = false;
    /// Expected loss at this upstream when offered, expected wait otherwise.
    std::chrono::milliseconds cost{0};
};

enum class decline_reason { overloaded, no_upstream, stopping, repeat_budget };

/// Reply to a reservation that is not kept.
struct decline_message {
    run_id id = 0;
    decline_reason reason = decline_reason::overloaded;
    /// Expected wait for a place.
    std::chrono::milliseconds wait{0};
};

/// Hands over the request for an offered slot.
struct run_message {
    run_id id = 0;
    /// Time that the caller will still wait.
    std::chrono::milliseconds time_left{0};
    request_head head;
    std::string body;
};

/// The caller has gone.
struct cancel_message {
    run_id id = 0;
};

/// The upstream's whole answer.
struct answer_message {
    run_id id = 0;
    int status = 0;
    http_headers headers;
    std::string body;
    /// Time at the upstream.
    std::chrono::milliseconds elapsed{0};
};

enum class run_failure {
    /// The upstream has not seen the request.
    not_run,
    /// The upstream says that it did not run the request.
    refused,
    /// The upstream may have run it; its answer is lost, broken or not its own.
    unknown,
};

/// A run that ended without an answer that can be passed on.
struct failed_message {
    run_id id = 0;
    run_failure kind = run_failure::unknown;
    std::string detail;
};

/// Asks the holder of an organisation's quota to admit one request.
struct quota_message {
    run_id id = 0;
    organisation_id organisation;
    /// The asker cannot reach the holder; the receiver asks on its behalf.
    bool is_relayed = false;
};

struct quota_reply_message {
    run_id id = 0;
    /// The receiver of the question holds the quota; otherwise the asker decides by itself.
    bool is_keeper = false;
    bool is_admitted = false;
    std::chrono::milliseconds retry_after{0};
};

/// An admitted request that was not run.
struct quota_return_message {
    organisation_id organisation;
};

/// Asks a node for what it learned after a revision of the store; it may keep the question for a
/// while.
struct follow_message {
    std::uint64_t nonce = 0;
    store_revision after = 0;
    revision_number configuration = 0;
    std::chrono::milliseconds wait{0};
    /// The store cannot be read, so that even a large update of the configuration is wanted.
    bool wants_large_update = false;
};

struct follow_reply_message {
    std::uint64_t nonce = 0;
    /// Everything up to this revision of the store is known to the sender.
    store_revision revision = 0;
    /// Removals after the revision asked for may be missing.
    bool is_history_lost = false;
    bool has_proof = false;
    /// How long ago the sender knew that nothing newer existed.
    std::chrono::milliseconds proof_age{0};
    revision_number configuration_revision = 0;
    /// Update of the configuration; see configuration_history. Empty when there is none, or when it
    /// is large and better read from the store.
    std::string configuration;
    std::vector<stored_item> items;
};

/// Keeps a link in use from going silent unnoticed.
struct ping_message {};
struct pong_message {};

using link_message =
    std::variant<hello_message, reserve_message, release_message, place_message, decline_message,
                 run_message, cancel_message, answer_message, failed_message, quota_message,
                 quota_reply_message, quota_return_message, follow_message, follow_reply_message,
                 ping_message, pong_message>;

/// Largest message that a link accepts: a request body at its usual limit of 64 MiB, and headers.
constexpr std::size_t max_link_message_bytes = 72U << 20U;

/// CBOR without the length prefix.
std::string encode_link_message(const link_message& message);

/// Nothing when the bytes are no message; the reason is in last_failure().
std::optional<link_message> decode_link_message(std::string_view bytes, const std::string& peer);

} // namespace dragonflyroad
