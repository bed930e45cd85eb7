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

/// `wait`: peers may have tokens, or the fence has just closed and evidence may be on its way; call
/// retry() after the next loan or acknowledgement, and last_try() at the end of the wait (about
/// 100 ms). `over_rate`: nobody has tokens. `unproved`: the node's seat is not proved (fence
/// closed), or it has none and nobody lends.
enum class admission { admitted, wait, over_rate, unproved };

/// Loan traffic to send now.
struct loan_plan {
    std::vector<addressed<borrow_request>> requests;
    std::vector<addressed<loan_return>> returns;
};

/// This node's quota for all organisations. State exists only for organisations seen lately here:
/// an account whose bucket is full and that has no loans is dropped and made again later from the
/// time since the node has held its units. All calls are thread-safe; admit() takes one of 64
/// short locks.
class rights {
public:
    explicit rights(seat_key own_key);

    /// Counts the request as demand and takes a token.
    admission admit(const organisation& limits, time_point now);
    /// Tries again for a request that was told to wait.
    admission retry(const organisation& limits, time_point now);

    /// Tries for the last time; never returns `wait`.
    admission last_try(const organisation& limits, time_point now);

    /// Up to when the seat's own units may be used; written by the rights controller.
    void set_fence(time_point deadline);

    /// Changes the units of the seat. A gain starts without tokens.
    void set_units(std::int64_t units, time_point now);
    std::int64_t units() const { return this->own.load(std::memory_order_acquire); }
    /// Forgets all tokens and loans: the seat was reclaimed. Takes the key of the next run.
    void reset(const seat_key& next_key, time_point now);
    /// True while more is lent for some organisation than the units cover. Until this is false a
    /// reduction may not be written to the ledger, because the borrowers still use the difference.
    bool is_overdrawn(time_point now);
    /// True while any loan given out has not ended; a node leaves only after that.
    bool has_lent(time_point now);
    /// From now on nothing is lent or borrowed: the node is stopping.
    void stop_lending();

    /// As lender. `limits` is the organisation's entry in this node's configuration.
    borrow_reply lend(const borrow_request& request, const organisation& limits, time_point now);
    /// As lender: a borrower gives a loan back early.
    void take_back(const loan_return& message, time_point now);
    /// As borrower: returns whether the loan was accepted; waiting requests should then try again.
    bool borrow(const borrow_reply& reply, time_point now);
    /// As borrower: the request failed or timed out; nothing was lent as far as this node knows.
    void give_up(std::uint64_t request_id, time_point now);

    /// What to ask of whom, and which loans to give back. Call it every 5 to 20 ms and when
    /// take_urgent() is true. `peers` are the seated nodes with proved two-way contact.
    loan_plan wanted(const std::vector<seat_key>& peers, random_engine& random, time_point now);
    /// True once after an admission was told to wait.
    bool take_urgent() { return this->urgent.exchange(false, std::memory_order_acq_rel); }

    /// Drops idle accounts of one shard after the other; call it about ten times a second.
    void evict(time_point now);

    std::size_t accounts() const;
    /// Bytes held, estimated from container sizes.
    std::size_t memory() const;
    /// Tokens and units (net of loans) for one organisation, for tests, metrics and `explain`.
    struct view {
        double tokens = 0;
        std::int64_t net_units = 0;
        std::int64_t lent_units = 0;
        double demand = 0;
    };
    view look(const organisation& limits, time_point now);

private:
    struct shard {
        mutable std::mutex lock;
        /// Units of the seat as this shard's accounts use them; a change reaches one shard after
        /// the other, each under its lock, so that no account refills with units it did not have.
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
        /// The round of requests no longer waits for the reply; a loan is still accepted.
        bool timed_out = false;
    };
    /// Units gained at one time, for making accounts that have been idle since.
    struct layer {
        time_point since{};
        std::int64_t units = 0;
    };

    shard& shard_of(const organisation_id& name);
    account& find_or_make(shard& part, const organisation& limits, time_point now);
    double idle_tokens(const organisation& limits, time_point now) const;
    bool any_lent(time_point now, bool beyond_units);
    admission decide_unproved(time_point now);
    admission decide(shard& part, account& entry, const organisation& limits, time_point now);
    void change_layers(std::int64_t before, std::int64_t after, time_point now);
    void plan_shortage(const organisation_id& name, account& entry, std::int64_t units_held,
                       const std::vector<seat_key>& peers, random_engine& random, time_point now,
                       loan_plan& plan);
    void plan_loans(const organisation_id& name, account& entry, std::int64_t units_held,
                    random_engine& random, time_point now, loan_plan& plan);
    void plan_shard(shard& part, const std::vector<seat_key>& peers, random_engine& random,
                    time_point now, loan_plan& plan);
    std::uint64_t note_pending(pending_request request, random_engine& random);
    std::optional<pending_request> take_pending(std::uint64_t id);
    void drop_late_requests(time_point now);
    void end_request(const organisation_id& name, bool granted, time_point now);

    static constexpr std::size_t shard_count = 64;

    seat_key self;
    std::atomic<std::int64_t> own{0};
    std::atomic<std::int64_t> fence_deadline{0};
    /// When an admission first found the fence closed, 0 while it is open.
    std::atomic<std::int64_t> closed_since{0};
    std::atomic<bool> urgent{false};
    std::atomic<bool> stopping{false};
    std::array<shard, shard_count> shards;
    mutable std::mutex layers_lock;
    std::vector<layer> layers;
    mutable std::mutex pending_lock;
    std::unordered_map<std::uint64_t, pending_request> pending;
    std::size_t next_eviction = 0;
};

} // namespace dragonflyroad
