#pragma once

#include "dispatch/memory_budget.hpp"

#include <cstddef>

namespace dragonflyroad {

/// The bytes of the request bodies that one upstream holds. Answers large uploads that arrive at
/// once: the upstream's slots bound their number but not their size, and it crashes when they
/// exceed its memory. Small bodies are always admitted, as is a large one while no other is held,
/// so that every request inside the operators' limits can run.
class upstream_memory {
public:
    /// For an upstream on a machine with this much memory.
    explicit upstream_memory(std::size_t machine_bytes)
        : limit(machine_bytes / machine_share_divisor)
    {
    }

    bool has_room(std::size_t body_bytes) const
    {
        return body_bytes <= small_body_bytes || this->held == 0 ||
               this->held + body_bytes <= this->limit;
    }
    void hold(std::size_t body_bytes) { this->held += counted(body_bytes); }
    void release(std::size_t body_bytes) { this->held -= counted(body_bytes); }

    std::size_t held_bytes() const { return this->held; }

private:
    /// The upstream needs memory for itself, and a body may be copied while it is read.
    static constexpr std::size_t machine_share_divisor = 4;

    static std::size_t counted(std::size_t body_bytes)
    {
        return body_bytes <= small_body_bytes ? 0 : body_bytes;
    }

    std::size_t limit;
    std::size_t held = 0;
};

} // namespace dragonflyroad
