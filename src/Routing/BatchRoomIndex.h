#pragma once

#include "Routing/WorkerIndex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly {

/// Workers that accept work, grouped by the processors that batch tasks leave free on them, so that
/// a placement finds candidates in time independent of the number of workers.
class BatchRoomIndex
{
public:
    /// Puts \a worker where it belongs with \a freeMilliProcessors.
    void put(WorkerIndex worker, std::int64_t freeMilliProcessors);
    /// Takes \a worker out, if it is in.
    void remove(WorkerIndex worker);

    /// Workers with at least about \a milliProcessors free; the last processor is not exact.
    std::size_t count(std::int64_t milliProcessors) const;
    /// The \a n-th of those workers, in no meaningful order.  \pre n < count(milliProcessors)
    WorkerIndex nth(std::int64_t milliProcessors, std::size_t n) const;

private:
    static constexpr std::size_t BucketCount = 129;
    static constexpr std::uint8_t NoBucket = 255;

    struct Position
    {
        std::uint8_t bucket = NoBucket;
        std::uint32_t place = 0;
    };

    static std::size_t bucketOf(std::int64_t milliProcessors);

    std::array<std::vector<WorkerIndex>, BucketCount> m_buckets;
    std::vector<Position> m_positions;
};

} // namespace firefly
