#pragma once

#include <cstdint>

namespace firefly::bench {

/// Counts heap allocations and deallocations while at least one instance exists.
///
/// The benchmark creates one around each use of the entry, to exclude the memory of the stand-ins.
class HeapCount
{
public:
    HeapCount();
    ~HeapCount();
    HeapCount(const HeapCount &) = delete;
    HeapCount &operator=(const HeapCount &) = delete;

    /// Bytes that were allocated while an instance existed, less those freed meanwhile.
    static std::int64_t bytesInUse();
};

} // namespace firefly::bench
