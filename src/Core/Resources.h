#pragma once

#include <compare>
#include <cstdint>

namespace firefly {

/// Amounts of what a worker holds or a task needs.
struct Resources
{
    std::int64_t milliProcessors = 0; ///< Thousandths of a processor.
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0; ///< Concurrent urgent calls.

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliProcessors += other.milliProcessors;
        memoryMiB += other.memoryMiB;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        milliProcessors -= other.milliProcessors;
        memoryMiB -= other.memoryMiB;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }

    /// True when every amount is at most the one in \a room.
    bool fitsIn(const Resources &room) const
    {
        return milliProcessors <= room.milliProcessors && memoryMiB <= room.memoryMiB
               && accelerators <= room.accelerators && slots <= room.slots;
    }
};

} // namespace firefly
