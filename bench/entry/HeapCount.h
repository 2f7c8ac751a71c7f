#pragma once

#include <cstdint>

namespace firefly::bench {

/// Counts the heap that is taken and given back while one of these lives.
///
/// The bench makes one around each use of the entry, so what the stand-ins hold is left out.
class HeapCount
{
public:
    HeapCount();
    ~HeapCount();
    HeapCount(const HeapCount &) = delete;
    HeapCount &operator=(const HeapCount &) = delete;

    /// Bytes in use that were taken under a HeapCount.
    static std::int64_t bytesInUse();
};

} // namespace firefly::bench
