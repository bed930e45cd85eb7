#pragma once

#include "config/model.hpp"
#include "core/clock.hpp"
#include "core/random.hpp"
#include "limits/account.hpp"
#include "limits/messages.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Result of an admission check.
/// `wait`: peers may have tokens, or the fence has just closed and evidence may arrive soon. Call
/// retry() after the next loan or acknowledgement, and last_try() after a limited wait.
/// `over_rate`: this node has no token, and recent loan requests to peers brought none.
/// `unproved`: the fence is closed, the node has no units and cannot borrow any, or no peer
/// replies. The client should try another node.
enum class admission { admitted, wait, over_rate, unproved };

/// How long a request with the result `wait` should be held before last_try(). A loan takes about
/// two round trips; the remaining time lets the fleet's tokens refill for an organisation with a
/// small burst.
constexpr std::chrono::milliseconds admission_wait{250};

/// Loan messages to send now.
struct loan_plan {
    std::vector<addressed<borrow_request>> requests;
    std::vector<addressed<loan_return>> returns;
};

/// This node's quota for all organisations. Only recently active organisations have an account: an
/// idle account, with a full bucket and no loans, is evicted. When it is created again, its tokens
/// follow from how long the node has held its units. All calls are thread-safe; admit() holds the
/// lock of one of 64 shards for a short time.
class node_quota {
public:
    explicit node_quota(seat_key own_key);

    /// Counts the request as demand and consumes a token if there is one.
    admission admit(const organisation& limits, time_point now);
    /// Checks a request with the result `wait` again, without counting demand.
    admission retry(const organisation& limits, time_point now);

    /// Like retry(), but for a request whose wait has ended: never returns `wait`.
    admission last_try(const organisation& limits, time_point now);

    /// Sets the time until which the seat's units may be used. Called by the seat_controller.
    void set_fence(time_point deadline);

    /// Changes the units of the seat. Gained units start without tokens.
    void set_units(std::int64_t units, time_point now);
    std::int64_t units() const { return this->own_units.load(std::memory_order_acquire); }
    /// Drops all units, tokens and loans after a reclaim of the seat. The node continues under the
    /// key of the next run.
    void reset(const seat_key& next_key, time_point now);
    /// Whether the loans lent exceed the seat's units for any organisation. A reduction must not be
    /// written to the ledger before this is false, because the borrowers still use the difference.
    bool is_overdrawn(time_point now);
    /// Whether any loan lent has not ended yet. A node leaves only when this is false.
    bool has_lent(time_point now);
    /// Stops all lending and borrowing, for a node that is stopping.
    void stop_lending();

    /// As lender: handles a loan request. `limits` is the organisation's entry in this node's
    /// configuration.
    borrow_reply lend(const borrow_request& request, const organisation& limits, time_point now);
    /// As lender: handles the early return of a loan.
    void accept_loan_return(const loan_return& message, time_point now);
    /// As borrower: handles the reply to a loan request. Returns whether a loan was accepted;
    /// waiting requests should then be retried.
    bool accept_loan(const borrow_reply& reply, time_point now);
    /// As borrower: handles a loan request that failed or timed out. The lender may still have
    /// granted it, but this node does not use such a loan.
    void record_loan_failure(std::uint64_t request_id, time_point now);

    /// Plans the loan requests and returns to send now. Call it every 5 to 20 ms and whenever
    /// consume_urgent() is true. `peers` are the nodes with a seat and proved two-way contact.
    loan_plan plan_loan_messages(const std::vector<seat_key>& peers, random_engine& random,
                                 time_point now);
    /// Whether a request has needed a loan or evidence since the last call.
    bool consume_urgent() { return this->urgent.exchange(false, std::memory_order_acq_rel); }

    /// Drops the idle accounts of the next shard. Call it about ten times a second.
    void evict(time_point now);

    std::size_t accounts() const;
    /// Memory in use in bytes, estimated from container sizes.
    std::size_t memory() const;
    /// Quota state of one organisation, for tests, metrics and `explain`. `net_units` includes
    /// borrowed units and excludes lent ones.
    struct view {
        double tokens = 0;
        std::int64_t net_units = 0;
        std::int64_t lent_units = 0;
        double demand = 0;
    };
    view inspect(const organisation& limits, time_point now);

private:
    struct shard {
        mutable std::mutex lock;
        /// The seat's units that the accounts of this shard use. set_units() changes one shard
        /// after the other, each under its lock, so that no account refills with units that the
        /// seat did not have at the time.
        std::int64_t units = 0;
        std::unordered_map<organisation_id, account> accounts;
        std::vector<organisation_id> short_of_tokens;
        std::vector<organisation_id> borrowers;
        std::vector<organisation_id> lenders;
    };
    struct pending_request {
        organisation_id name;
        seat_key lender;
        std::int64_t units = 0;
        std::uint64_t extends = 0;
        time_point sent{};
        /// Whether the round of requests has stopped waiting for the reply. A late loan is still
        /// accepted.
        bool timed_out = false;
    };
    /// Units gained at one time. A new account starts with the tokens that these units have
    /// refilled since then.
    struct unit_gain {
        time_point since{};
        std::int64_t units = 0;
    };

    shard& shard_of(const organisation_id& name);
    account& find_or_create(shard& part, const organisation& limits, time_point now);
    double idle_tokens(const organisation& limits, time_point now) const;
    bool any_lent(time_point now, bool beyond_units);
    admission decide_fenced(time_point now);
    admission decide(shard& part, account& entry, const organisation& limits, time_point now);
    void update_unit_gains(std::int64_t before, std::int64_t after, time_point now);
    void plan_borrowing(const organisation_id& name, account& entry, std::int64_t seat_units,
                        const std::vector<seat_key>& peers, random_engine& random, time_point now,
                        loan_plan& plan);
    void plan_returns_and_extensions(const organisation_id& name, account& entry,
                                     std::int64_t seat_units, const std::vector<seat_key>& peers,
                                     random_engine& random, time_point now, loan_plan& plan);
    void plan_shard(shard& part, const std::vector<seat_key>& peers, random_engine& random,
                    time_point now, loan_plan& plan);
    std::uint64_t add_pending(pending_request request, random_engine& random);
    std::optional<pending_request> remove_pending(std::uint64_t id);
    void expire_requests(time_point now);
    void finish_request(const organisation_id& name, bool granted, time_point now);

    static constexpr std::size_t shard_count = 64;

    seat_key self;
    std::atomic<std::int64_t> own_units{0};
    std::atomic<std::int64_t> fence_deadline{0};
    /// When an admission check first found the fence closed; 0 after the fence is extended.
    std::atomic<std::int64_t> fence_closed_since{0};
    /// Loan requests that timed out since the last reply.
    std::atomic<std::uint32_t> consecutive_timeouts{0};
    std::atomic<bool> urgent{false};
    std::atomic<bool> stopping{false};
    std::array<shard, shard_count> shards;
    mutable std::mutex unit_gains_lock;
    std::vector<unit_gain> unit_gains;
    mutable std::mutex pending_lock;
    std::unordered_map<std::uint64_t, pending_request> pending;
    std::size_t next_eviction = 0;
};

} // namespace dragonflyroad
