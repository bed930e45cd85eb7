#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace dragonflyroad {

/// What reserved bytes are for. Bodies of more than `small_body_bytes` are large.
enum class memory_use { connection, small_body, large_request, large_response, count };

constexpr std::size_t memory_use_count = static_cast<std::size_t>(memory_use::count);

/// A body up to this size is small: ordinary requests have at most a few kilobytes.
constexpr std::size_t small_body_bytes = 64U << 10U;

/// The bytes that one process may hold for requests, responses, links and connections. Whoever
/// buffers bytes of a peer reserves them first and frees them when they have been passed on or when
/// the peer has left. Not synchronised.
///
/// Answers clients that the project does not control: many large bodies of legal size at once, most
/// of which stop just short of their end and stay open, and callers and upstreams that read large
/// bodies slowly. Large requests and large responses can use up neither the whole budget nor each
/// other's part, and a share is left for small bodies and connections, so that ordinary requests
/// are served while all large bodies are refused.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit_bytes) : limit(limit_bytes) {}

    /// The budget of a process that may use this much memory: what remains beside the program, its
    /// tables and its configuration.
    static memory_budget of_process(std::size_t process_bytes);

    /// False when the bytes do not fit; nothing is reserved then.
    bool reserve(std::size_t bytes) { return this->reserve(bytes, memory_use::small_body); }
    bool reserve(std::size_t bytes, memory_use use);
    void release(std::size_t bytes) { this->release(bytes, memory_use::small_body); }
    void release(std::size_t bytes, memory_use use);

    std::size_t reserved() const { return this->in_use; }
    std::size_t capacity() const { return this->limit; }
    /// Reservations that did not fit.
    std::uint64_t refusals() const { return this->refused; }

private:
    bool fits(std::size_t bytes, memory_use use) const;
    std::size_t& used(memory_use use) { return this->by_use.at(static_cast<std::size_t>(use)); }
    std::size_t used(memory_use use) const
    {
        return this->by_use.at(static_cast<std::size_t>(use));
    }

    std::size_t limit = 0;
    std::size_t in_use = 0;
    std::uint64_t refused = 0;
    std::array<std::size_t, memory_use_count> by_use{};
};

/// Bytes of a budget, which are released with this object.
class memory_reservation {
public:
    memory_reservation() = default;
    explicit memory_reservation(std::shared_ptr<memory_budget> owner) : budget(std::move(owner)) {}
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&& other) noexcept
        : budget(std::move(other.budget)), use(other.use), bytes(std::exchange(other.bytes, 0))
    {
    }
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    ~memory_reservation() { this->reset(); }

    /// Makes this a reservation of `total` bytes. False when they do not fit; the reservation is
    /// unchanged then. Without a budget, everything fits.
    bool resize(std::size_t total, memory_use wanted);
    void reset();

    std::size_t size() const { return this->bytes; }

private:
    std::shared_ptr<memory_budget> budget;
    memory_use use = memory_use::small_body;
    std::size_t bytes = 0;
};

} // namespace dragonflyroad
