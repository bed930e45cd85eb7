#include "retry/retry_budget.hpp"

#include "core/digest.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

// Unused budget is kept for this many retries: enough for the requests that one dying upstream has
// in flight, too few to hold a burst of retries up to a service that is down.
constexpr std::int64_t largest_thousandths = 20'000;

} // namespace

void retry_budget::note_first_attempt(double ratio)
{
    const auto added = static_cast<std::int64_t>(ratio * 1000);
    std::int64_t held = this->thousandths.load(std::memory_order_relaxed);
    while (held < largest_thousandths &&
           !this->thousandths.compare_exchange_weak(
               held, std::min(held + added, largest_thousandths), std::memory_order_relaxed)) {
    }
}

bool retry_budget::take()
{
    std::int64_t held = this->thousandths.load(std::memory_order_relaxed);
    while (held >= 1000) {
        if (this->thousandths.compare_exchange_weak(held, held - 1000, std::memory_order_relaxed)) {
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
    if (part.budgets.size() >= largest_count && !part.budgets.contains(key)) {
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
