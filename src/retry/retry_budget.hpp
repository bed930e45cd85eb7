#pragma once

#include "core/ids.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace dragonflyroad {

/// Retries and hedges that one organisation may cause at one service: each first attempt adds a
/// fraction of a retry, each retry takes one. Counting against attempts and not against time keeps
/// the added load at a fixed share however busy the service is. All functions are thread-safe.
class retry_budget {
public:
    /// A first attempt was sent; `ratio` is the profile's retry_budget, retries per first attempt.
    void note_first_attempt(double ratio);

    /// Takes one retry from the budget; false when it is used up.
    bool take();

    /// Whether take() would succeed.
    bool has_retry() const { return this->thousandths.load(std::memory_order_relaxed) >= 1000; }

private:
    // An organisation with few requests can retry too: it starts with three.
    std::atomic<std::int64_t> thousandths{3000};
};

/// The budgets of all services and organisations, of bounded number: beyond `largest_count` per
/// shard, budgets that no request holds are dropped and start afresh when used again.
class retry_budget_table {
public:
    std::shared_ptr<retry_budget> find(const service_name& service,
                                       const organisation_id& organisation);

    std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t largest_count = 4096;

    struct shard {
        mutable std::mutex lock;
        std::unordered_map<std::uint64_t, std::shared_ptr<retry_budget>> budgets;
    };

    std::array<shard, shard_count> shards;
};

} // namespace dragonflyroad
