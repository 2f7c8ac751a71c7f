#pragma once

#include <compare>
#include <cstdint>

namespace firefly {

/// Resource amounts: the capacity of a worker or the requirement of a task.
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

    /// True when every amount is at most the one in \a available.
    bool fitsIn(const Resources &available) const
    {
        return milliProcessors <= available.milliProcessors && memoryMiB <= available.memoryMiB
               && accelerators <= available.accelerators && slots <= available.slots;
    }
};

} // namespace firefly
