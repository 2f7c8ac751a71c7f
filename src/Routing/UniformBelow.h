#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace firefly::internal {

/// Uniform random number in [0, n).  Gives the same sequence with every standard library, unlike
/// std::uniform_int_distribution.  \pre 0 < n < 2^32
inline std::size_t uniformBelow(std::mt19937_64 &random, std::size_t n)
{
    constexpr unsigned HalfBits = 32;
    const std::uint64_t high = random() >> HalfBits;
    return std::size_t((high * n) >> HalfBits);
}

} // namespace firefly::internal
