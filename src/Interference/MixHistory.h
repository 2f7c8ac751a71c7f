#pragma once

#include "Core/Clock.h"
#include "Interference/SlowdownModel.h"

#include <deque>
#include <span>
#include <vector>

namespace firefly {

/// The workloads that ran on one worker over the last seconds, so that a lagging observation is
/// matched with the mix it was made in.
class MixHistory
{
public:
    explicit MixHistory(Duration kept = std::chrono::seconds(30))
        : m_kept(kept)
    {}

    /// The mix of the worker is \a mix from \a now on.
    void record(std::span<const WorkloadShare> mix, TimePoint now);
    /// The mix at \a at; empty when nothing is known of that time.
    std::span<const WorkloadShare> at(TimePoint at) const;
    /// True when the mix did not change between \a from and \a to.
    bool isSteady(TimePoint from, TimePoint to) const;

private:
    struct Entry
    {
        TimePoint since{};
        std::vector<WorkloadShare> mix;
    };

    Duration m_kept;
    std::deque<Entry> m_entries;
};

} // namespace firefly
