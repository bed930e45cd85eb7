#include "dispatch/memory_budget.hpp"

#include <algorithm>

namespace dragonflyroad {
namespace {

/// Memory of the program itself, its tables, its configuration and what the allocator keeps; at
/// most this share of the process's memory on a process smaller than any that is deployed.
constexpr std::size_t program_bytes = 40U << 20U;
constexpr std::size_t program_share_divisor = 3;

/// Shares of the budget in eighths: large requests, large responses, and both together. What
/// remains is left for small bodies and connections.
constexpr std::size_t large_use_eighths = 5;
constexpr std::size_t all_large_eighths = 7;
/// Connections, so that they leave room for the requests on them.
constexpr std::size_t connection_eighths = 4;

bool is_large(memory_use use)
{
    return use == memory_use::large_request || use == memory_use::large_response;
}

} // namespace

memory_budget memory_budget::of_process(std::size_t process_bytes)
{
    return memory_budget{process_bytes -
                         std::min(program_bytes, process_bytes / program_share_divisor)};
}

bool memory_budget::fits(std::size_t bytes, memory_use use) const
{
    if (bytes > this->limit - this->in_use) {
        return false;
    }
    const std::size_t eighth = this->limit / 8;
    const std::size_t of_use = this->used(use) + bytes;
    if (use == memory_use::connection) {
        return of_use <= connection_eighths * eighth;
    }
    if (!is_large(use)) {
        return true;
    }
    const std::size_t large =
        this->used(memory_use::large_request) + this->used(memory_use::large_response) + bytes;
    // A single body of more than its share is admitted while nothing else large is held.
    return large <= all_large_eighths * eighth &&
           (of_use <= large_use_eighths * eighth || of_use == bytes);
}

bool memory_budget::reserve(std::size_t bytes, memory_use use)
{
    if (!this->fits(bytes, use)) {
        ++this->refused;
        return false;
    }
    this->in_use += bytes;
    this->used(use) += bytes;
    return true;
}

void memory_budget::release(std::size_t bytes, memory_use use)
{
    this->in_use -= bytes;
    this->used(use) -= bytes;
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->budget = std::move(other.budget);
        this->use = other.use;
        this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
}

bool memory_reservation::resize(std::size_t total, memory_use wanted)
{
    if (this->budget == nullptr || (total == this->bytes && wanted == this->use)) {
        return true;
    }
    this->budget->release(this->bytes, this->use);
    if (!this->budget->reserve(total, wanted)) {
        // What was reserved before fits again: nothing was reserved since.
        this->budget->reserve(this->bytes, this->use);
        return false;
    }
    this->bytes = total;
    this->use = wanted;
    return true;
}

void memory_reservation::reset()
{
    if (this->budget != nullptr && this->bytes > 0) {
        this->budget->release(std::exchange(this->bytes, 0), this->use);
    }
}

} // namespace dragonflyroad
