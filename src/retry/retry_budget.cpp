#include "retry/retry_budget.hpp"

#include "core/digest.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

// Upper bound on the unused budget, in thousandths of a retry: enough for the requests that one
// dying upstream has in flight, too little for a burst of retries to a service that is down.
constexpr std::int64_t max_balance_thousandths = 20'000;

} // namespace

void retry_budget::record_first_attempt(double ratio)
{
    const auto added = static_cast<std::int64_t>(ratio * 1000);
    std::int64_t balance = this->balance_thousandths.load(std::memory_order_relaxed);
    while (balance < max_balance_thousandths &&
           !this->balance_thousandths.compare_exchange_weak(
               balance, std::min(balance + added, max_balance_thousandths),
               std::memory_order_relaxed)) {
    }
}

bool retry_budget::try_consume_retry()
{
    std::int64_t balance = this->balance_thousandths.load(std::memory_order_relaxed);
    while (balance >= 1000) {
        if (this->balance_thousandths.compare_exchange_weak(balance, balance - 1000,
                                                            std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

std::shared_ptr<retry_budget> retry_budget_table::find(const service_name& service,
                                                       const organisation_id& organisation)
{
    const std::uint64_t key = stable_hash(organisation.value, stable_hash(service.value));
    shard& part = this->shards.at(key % shard_count);
    const std::lock_guard guard(part.lock);
    if (part.budgets.size() >= max_entry_count && !part.budgets.contains(key)) {
        std::erase_if(part.budgets,
                      [](const auto& entry) { return entry.second.use_count() == 1; });
    }
    auto& budget = part.budgets[key];
    if (!budget) {
        budget = std::make_shared<retry_budget>();
    }
    return budget;
}

std::size_t retry_budget_table::size() const
{
    std::size_t total = 0;
    for (const shard& part : this->shards) {
        const std::lock_guard guard(part.lock);
        total += part.budgets.size();
    }
    return total;
}

} // namespace dragonflyroad
