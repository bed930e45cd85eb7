#pragma once

#include <cstdint>
#include <random>

namespace dragonflyroad {

/// Passed to every decision that needs randomness, so that a seed reproduces the decision.
using random_engine = std::mt19937_64;

/// A uniform number in [0, 1).
inline double uniform(random_engine& random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^53, the precision of double
    return static_cast<double>(random() >> 11U) * scale;
}

/// A uniform index below `size`, which must not be zero.
inline std::uint64_t uniform_index(random_engine& random, std::uint64_t size)
{
    return random() % size;
}

} // namespace dragonflyroad
