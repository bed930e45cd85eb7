#pragma once

#include "adapters/rpc_client.hpp"
#include "adapters/rpc_server.hpp"
#include "adapters/store.hpp"
#include "core/random.hpp"
#include "limits/rights_controller.hpp"
#include "node/blackboard.hpp"
#include "node/gates.hpp"
#include "node/loan_calls.hpp"
#include "node/membership_controller.hpp"
#include "node/periodic_task.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflyroad {

/// What the ownership of claims depends on, as of one moment.
struct seat_facts {
    seat_key key;
    bool is_fence_open = false;
    /// Given when it is newer than the one that the asker has.
    std::optional<ledger> book;
};

/// The seat as status shows it.
struct seat_status {
    bool is_fence_open = false;
    std::int64_t units = 0;
};

/// This node's share of every organisation's rate: the seat in the ledger and the loans between
/// peers. Performs the store calls and messages that rights_controller and rights ask for.
class fleet_rights : public rate_gate {
public:
    struct parts {
        seat_key key;
        data_centre centre;
        std::string peer_address;
        std::shared_ptr<store> ledger_store;
        membership_controller& members;
        const blackboard& board;
        std::string secret;
        std::uint64_t seed = 0;
    };

    explicit fleet_rights(parts given);

    rate_verdict admit(const organisation& limits, time_point deadline) override;

    /// Registers borrow, return_loan, consent and ledger on the peer port.
    void add_methods(rpc_server& server);
    void start();
    /// Leaves the seat if the store answers; waits until `deadline` at most.
    void stop(time_point deadline);

    /// The ledger is included when the asker's run or seat version is older.
    seat_facts seats(const seat_key& known_key, std::uint64_t known_version, time_point now) const;
    /// Copies the ledger of the peer at this address; returns at once when a copy is under way.
    void fetch_ledger(const std::string& address, time_point deadline);
    /// The peer has a newer ledger; the control thread fetches it.
    void request_ledger(const node_id& peer);
    /// All claims went to the other seats of this seat version.
    void set_claims_handed_over(std::uint64_t seat_version);
    seat_status status(time_point now) const;

    /// For membership, which holds its own lock meanwhile.
    void fill_facts(local_facts& facts, const std::vector<seat_key>& peers, time_point now);
    void take_news(const membership_news& news, time_point now);

private:
    duration control();
    duration trade();
    void perform_write(const ledger_write& write);
    void perform_read();
    void ask_consents(const rights_step& step);
    void fetch_requested_ledger();
    void rejoin();
    bool borrow(const addressed<borrow_request>& request);
    bool return_loan(const addressed<loan_return>& message);
    std::optional<nlohmann::json> lend(const nlohmann::json& params);
    std::optional<nlohmann::json> take_back(const nlohmann::json& params);
    std::optional<nlohmann::json> consent(const nlohmann::json& params);
    std::optional<nlohmann::json> show_ledger();

    parts own;
    rights quota;
    rpc_client client;
    random_engine random;
    mutable std::mutex mutex;
    std::condition_variable changed;
    rights_controller controller;
    std::string fetch_from;
    std::atomic<bool> is_fetching = false;
    loan_calls loans;
    std::unique_ptr<periodic_task> control_task;
    std::unique_ptr<periodic_task> trade_task;
};

} // namespace dragonflyroad
