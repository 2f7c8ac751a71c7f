#pragma once

#include "Core/Clock.h"
#include "Interference/SlowdownModel.h"

#include <deque>
#include <span>
#include <vector>

namespace firefly {

/// Recent history of the workload mix on one worker, which matches a delayed observation to the
/// mix that it was made under.
class MixHistory
{
public:
    /// Keeps the mixes of at least the last \a retention.
    explicit MixHistory(Duration retention = std::chrono::seconds(30))
        : m_retention(retention)
    {}

    /// Records that the worker runs \a mix from \a now on.
    void record(std::span<const WorkloadShare> mix, TimePoint now);
    /// Mix at the time \a at; empty when it precedes the history.
    std::span<const WorkloadShare> at(TimePoint at) const;
    /// True when the mix did not change in (\a from, \a to].
    bool isUnchanged(TimePoint from, TimePoint to) const;

private:
    struct Entry
    {
        TimePoint since{};
        std::vector<WorkloadShare> mix;
    };

    Duration m_retention;
    std::deque<Entry> m_entries;
};

} // namespace firefly
