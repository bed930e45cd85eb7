#pragma once

#include "adapters/rpc_client.hpp"
#include "adapters/rpc_server.hpp"
#include "adapters/store.hpp"
#include "core/random.hpp"
#include "limits/seat_controller.hpp"
#include "node/decision_interfaces.hpp"
#include "node/loan_call_queue.hpp"
#include "node/membership_controller.hpp"
#include "node/periodic_task.hpp"
#include "node/shared_node_state.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflyroad {

/// Consistent copy of the seat state that determines who owns which claims.
struct seat_facts {
    seat_key key;
    bool is_fence_open = false;
    /// Set if the caller's copy is older or belongs to another run.
    std::optional<ledger> newer_ledger;
};

/// State of the seat for the status report.
struct seat_status {
    bool is_fence_open = false;
    std::int64_t units = 0;
};

/// This node's share of every organisation's rate limit: its seat in the ledger, and its loans to
/// and from peers. Performs the store and peer calls that seat_controller and node_quota plan.
class fleet_quota : public rate_limiter {
public:
    struct dependencies {
        seat_key key;
        data_centre centre;
        std::string peer_address;
        std::shared_ptr<store> ledger_store;
        membership_controller& members;
        const shared_node_state& shared_state;
        std::string secret;
        std::uint64_t seed = 0;
    };

    explicit fleet_quota(dependencies given);

    rate_verdict admit(const organisation& limits, time_point deadline) override;

    /// Registers borrow, return_loan, consent and ledger on the peer port.
    void add_methods(rpc_server& server);
    void start();
    /// Gives up the seat, which needs the store; waits until `deadline` at most.
    void stop(time_point deadline);

    /// Returns the seat state. Includes the ledger if `known_key` is not the current run or
    /// `known_version` is older.
    seat_facts current_seat(const seat_key& known_key, std::uint64_t known_version,
                            time_point now) const;
    /// Fetches the ledger from the peer at this address. Returns at once if another fetch is in
    /// progress.
    void fetch_ledger(const std::string& address, time_point deadline);
    /// Makes the control thread fetch the ledger from a peer that has a newer one.
    void request_ledger(const node_id& peer);
    /// Records that all claims were handed over to the other seats of this seat version.
    void set_claims_handed_over(std::uint64_t seat_version);
    seat_status status(time_point now) const;

    // Called by membership with its lock held.
    void fill_advertised_state(advertised_state& facts, const std::vector<seat_key>& peers,
                               time_point now);
    void handle_membership_update(const membership_update& update, time_point now);

private:
    duration run_control_cycle();
    duration run_loan_cycle();
    void perform_ledger_write(const ledger_write& write);
    void perform_ledger_read();
    void request_consents(const seat_actions& step);
    void fetch_requested_ledger();
    void rejoin();
    bool send_borrow_request(const addressed<borrow_request>& request);
    bool send_loan_return(const addressed<loan_return>& message);
    std::optional<nlohmann::json> on_borrow(const nlohmann::json& params);
    std::optional<nlohmann::json> on_return_loan(const nlohmann::json& params);
    std::optional<nlohmann::json> on_consent(const nlohmann::json& params);
    std::optional<nlohmann::json> on_ledger();

    dependencies deps;
    node_quota quota;
    rpc_client client;
    random_engine random;
    mutable std::mutex mutex;
    std::condition_variable changed;
    seat_controller controller;
    std::string ledger_source;
    std::atomic<bool> is_fetching = false;
    loan_call_queue loans;
    std::unique_ptr<periodic_task> control_task;
    std::unique_ptr<periodic_task> loan_task;
};

} // namespace dragonflyroad
