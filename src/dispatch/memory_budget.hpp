#pragma once

#include <cstddef>
#include <utility>

namespace dragonflyroad {

/// The bytes that one process may hold for requests, responses, links and connections. Whoever
/// buffers bytes of a peer reserves them first and frees them when they have been passed on or when
/// the peer has left. Not synchronised.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit_bytes) : limit(limit_bytes) {}

    /// False when the bytes do not fit; nothing is reserved then.
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes);

    std::size_t reserved() const { return this->in_use; }
    std::size_t capacity() const { return this->limit; }

private:
    std::size_t limit = 0;
    std::size_t in_use = 0;
};

} // namespace dragonflyroad
