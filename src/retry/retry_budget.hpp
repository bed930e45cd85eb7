#pragma once

#include "core/ids.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace dragonflyroad {

/// Limits the retries and hedges that one organisation causes at one service: each first attempt
/// adds a fraction of a retry, and each retry or hedge takes one. Because the budget grows with
/// attempts and not with time, the added load is a fixed share of the load at any rate.
/// Thread-safe.
class retry_budget {
public:
    /// Adds the share of a first attempt; `ratio` is the profile's retry_budget, in retries per
    /// first attempt.
    void record_first_attempt(double ratio);

    /// Takes one retry from the budget; false when it is used up.
    bool try_consume_retry();

    /// Whether try_consume_retry() would succeed.
    bool has_retry() const
    {
        return this->balance_thousandths.load(std::memory_order_relaxed) >= 1000;
    }

private:
    // In thousandths of a retry. Starts with three retries so that an organisation with few
    // requests can retry as well.
    std::atomic<std::int64_t> balance_thousandths{3000};
};

/// The budgets of the recently used pairs of service and organisation. When a shard holds
/// `max_entry_count`, a new pair first removes the budgets that no request holds; a removed budget
/// starts anew when it is used again.
class retry_budget_table {
public:
    std::shared_ptr<retry_budget> find(const service_name& service,
                                       const organisation_id& organisation);

    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t max_entry_count = 4096;

    struct shard {
        mutable std::mutex lock;
        std::unordered_map<std::uint64_t, std::shared_ptr<retry_budget>> budgets;
    };

    std::array<shard, shard_count> shards;
};

} // namespace dragonflyroad
