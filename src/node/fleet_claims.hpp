#pragma once

#include "adapters/rpc_client.hpp"
#include "adapters/rpc_server.hpp"
#include "claims/claim_table.hpp"
#include "core/random.hpp"
#include "node/blackboard.hpp"
#include "node/fleet_rights.hpp"
#include "node/gates.hpp"
#include "node/periodic_task.hpp"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Claims of idempotency keys at their owners, over JSON-RPC on the peer port, and this node's own
/// table of the keys that it owns. The owner is chosen by the ledger copy of fleet_rights, so a
/// node without a seat asks the owners like any other.
class fleet_claims : public claim_gate {
public:
    struct parts {
        node_id node;
        seat_key key;
        fleet_rights& rights;
        const blackboard& board;
        std::string secret;
        std::uint64_t seed = 0;
    };

    explicit fleet_claims(parts given);

    /// Gives `unavailable` when no owner answered within 300 ms or until `deadline`. A claim whose
    /// reply was lost is cancelled in the background; until the owner has received that, a retry
    /// of the client is refused as in progress, for the repeat window at most.
    claim_decision claim(claim_subject& subject, std::chrono::milliseconds repeat_window,
                         time_point deadline) override;
    /// Reports the end to the owner, at first on the calling thread for 300 ms at most, then in the
    /// background until the owner has acknowledged it.
    void complete(const claim_subject& subject, ran executed) override;

    /// Registers claim, complete and hand_over on the peer port.
    void add_methods(rpc_server& server);
    void start();
    /// Stops answering claims, and hands them to the remaining seats until `deadline` at most. To
    /// be called before the seat is left; stop() follows after that.
    void hand_over(time_point deadline);
    void stop();

private:
    /// A completion that its owner has not acknowledged.
    struct unreported {
        claim_completion message;
        time_point until{};
    };
    /// One reply, or nothing when the owner is not known or did not answer.
    struct asked {
        std::optional<claim_reply> reply;
        /// The owner may have recorded the claim although no reply arrived.
        bool may_be_recorded = false;
    };

    /// Takes the newest seats; returns whether the fence is open.
    bool refresh(time_point now);
    asked ask(claim_request& request, time_point deadline);
    std::optional<claim_reply> report(claim_completion message, time_point deadline);
    void report_later(const claim_completion& message);
    void pause(time_point deadline);
    duration send_hand_overs();
    bool send(const addressed<claim_hand_over>& message);
    duration report_again();
    std::optional<nlohmann::json> on_claim(const nlohmann::json& params, const node_id& caller);
    std::optional<nlohmann::json> on_complete(const nlohmann::json& params, const node_id& caller);
    std::optional<nlohmann::json> on_hand_over(const nlohmann::json& params);

    parts own;
    rpc_client client;
    std::mutex mutex;
    std::condition_variable changed;
    random_engine random;
    seat_key key;
    claim_table table;
    std::shared_ptr<const ledger> book = std::make_shared<ledger>();
    time_point next_expiry{};
    std::deque<unreported> pending;
    std::unique_ptr<periodic_task> hand_over_task;
    std::unique_ptr<periodic_task> report_task;
};

} // namespace dragonflyroad
