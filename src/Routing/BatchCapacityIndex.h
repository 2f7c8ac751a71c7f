#pragma once

#include "Routing/WorkerIndex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace firefly {

/// Index of the workers that accept work by the processors that batch tasks leave free on them.
/// Lookups and updates take time independent of the number of workers.
class BatchCapacityIndex
{
public:
    /// Adds \a worker, or moves it to the bucket of \a freeMilliProcessors.
    void update(WorkerIndex worker, std::int64_t freeMilliProcessors);
    /// Removes \a worker, if present.
    void remove(WorkerIndex worker);

    /// Number of workers with at least \a milliProcessors free, rounded down to whole processors.
    std::size_t count(std::int64_t milliProcessors) const;
    /// The \a n-th of those workers, in unspecified order.  \pre n < count(milliProcessors)
    WorkerIndex nth(std::int64_t milliProcessors, std::size_t n) const;

private:
    static constexpr std::size_t BucketCount = 129;
    static constexpr std::uint8_t NoBucket = 255;

    /// Bucket of a worker and its offset within the bucket.
    struct Position
    {
        std::uint8_t bucket = NoBucket;
        std::uint32_t offset = 0;
    };

    static std::size_t bucketOf(std::int64_t milliProcessors);

    std::array<std::vector<WorkerIndex>, BucketCount> m_buckets;
    std::vector<Position> m_positions;
};

} // namespace firefly
