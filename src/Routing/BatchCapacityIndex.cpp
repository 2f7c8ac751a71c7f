#include "Routing/BatchCapacityIndex.h"

#include <algorithm>

namespace firefly {
namespace {

constexpr std::int64_t MilliProcessorsPerBucket = 1000;

} // namespace

std::size_t BatchCapacityIndex::bucketOf(std::int64_t milliProcessors)
{
    const std::int64_t bucket = milliProcessors / MilliProcessorsPerBucket;
    return std::size_t(std::clamp<std::int64_t>(bucket, 0, BucketCount - 1));
}

void BatchCapacityIndex::update(WorkerIndex worker, std::int64_t freeMilliProcessors)
{
    if (m_positions.size() <= toPosition(worker)) {
        m_positions.resize(toPosition(worker) + 1);
    }
    const std::size_t bucket = bucketOf(freeMilliProcessors);
    if (m_positions[toPosition(worker)].bucket == bucket) {
        return;
    }
    remove(worker);
    auto &list = m_buckets[bucket];
    m_positions[toPosition(worker)] = {std::uint8_t(bucket), std::uint32_t(list.size())};
    list.push_back(worker);
}

void BatchCapacityIndex::remove(WorkerIndex worker)
{
    if (m_positions.size() <= toPosition(worker)) {
        return;
    }
    Position &position = m_positions[toPosition(worker)];
    if (position.bucket == NoBucket) {
        return;
    }
    auto &list = m_buckets[position.bucket];
    list[position.offset] = list.back();
    m_positions[toPosition(list.back())].offset = position.offset;
    list.pop_back();
    position = {};
}

std::size_t BatchCapacityIndex::count(std::int64_t milliProcessors) const
{
    std::size_t n = 0;
    for (std::size_t bucket = bucketOf(milliProcessors); bucket < BucketCount; ++bucket) {
        n += m_buckets[bucket].size();
    }
    return n;
}

WorkerIndex BatchCapacityIndex::nth(std::int64_t milliProcessors, std::size_t n) const
{
    std::size_t bucket = bucketOf(milliProcessors);
    while (n >= m_buckets[bucket].size()) {
        n -= m_buckets[bucket].size();
        ++bucket;
    }
    return m_buckets[bucket][n];
}

} // namespace firefly
