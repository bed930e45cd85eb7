#pragma once

#include <cstddef>
#include <malloc.h>

namespace dragonflyroad::bench {

/// Bytes that this process has allocated on the heap.
inline std::size_t allocated_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace dragonflyroad::bench
