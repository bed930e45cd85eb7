#pragma once

#include "adapters/rpc_client.hpp"
#include "adapters/rpc_server.hpp"
#include "claims/claim_table.hpp"
#include "core/random.hpp"
#include "node/decision_interfaces.hpp"
#include "node/fleet_quota.hpp"
#include "node/periodic_task.hpp"
#include "node/shared_node_state.hpp"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Claims idempotency keys at their owner nodes over JSON-RPC on the peer port, and keeps the table
/// of the claims that this node owns. Owners are derived from a copy of the ledger in fleet_quota,
/// so a node without a seat can claim keys as well.
class fleet_claims : public idempotency_claims {
public:
    struct dependencies {
        node_id node;
        seat_key key;
        fleet_quota& quota;
        const shared_node_state& shared_state;
        std::string secret;
        std::uint64_t seed = 0;
    };

    explicit fleet_claims(dependencies given);

    /// Returns `unavailable` if no owner decided within 300 ms or before `deadline`. A claim whose
    /// reply was lost is cancelled in the background. Until the owner receives the cancellation, a
    /// client's retry is refused as in progress, at most until the claim's window ends.
    claim_decision claim(claim_subject& subject, std::chrono::milliseconds repeat_window,
                         time_point deadline) override;
    /// Reports completion to the owner: first on the calling thread, for 300 ms at most, then in
    /// the background until the owner acknowledges it or the claim's window ends. At most 10,000
    /// reports are pending; beyond that the oldest is dropped.
    void complete(const claim_subject& subject, ran executed) override;

    /// Registers claim, complete and hand_over on the peer port.
    void add_methods(rpc_server& server);
    void start();
    /// Waits for pending reports of completions, then stops serving claims and hands them over to
    /// the remaining seats; waits until `deadline` at most. Call this before fleet_quota::stop(),
    /// which gives up the seat, and stop() after it.
    void hand_over(time_point deadline);
    void stop();

private:
    /// A completion that the owner has not acknowledged.
    struct unacknowledged_completion {
        claim_completion message;
        time_point until{};
    };
    /// Result of one claim request. The reply is empty if the owner is unknown or did not reply.
    struct claim_call_result {
        std::optional<claim_reply> reply;
        /// Whether the owner may have recorded the claim although no reply arrived.
        bool may_be_recorded = false;
    };

    /// Applies the latest seats to the claim table. Returns whether the fence is open.
    bool refresh_seats(time_point now);
    claim_call_result request_claim(claim_request& request, time_point deadline);
    std::optional<claim_reply> report_completion(claim_completion message, time_point deadline);
    void queue_completion(const claim_completion& message);
    void wait_before_retry(time_point deadline);
    duration send_hand_overs();
    bool send_hand_over(const addressed<claim_hand_over>& message);
    duration retry_completions();
    std::optional<nlohmann::json> on_claim(const nlohmann::json& params, const node_id& caller);
    std::optional<nlohmann::json> on_complete(const nlohmann::json& params, const node_id& caller);
    std::optional<nlohmann::json> on_hand_over(const nlohmann::json& params);

    dependencies deps;
    rpc_client client;
    std::mutex mutex;
    std::condition_variable changed;
    random_engine random;
    seat_key key;
    claim_table table;
    std::shared_ptr<const ledger> ledger_copy = std::make_shared<ledger>();
    time_point next_expiry{};
    std::deque<unacknowledged_completion> pending_completions;
    std::unique_ptr<periodic_task> hand_over_task;
    std::unique_ptr<periodic_task> report_task;
};

} // namespace dragonflyroad
