#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace firefly {

/// Settings of EvictionPlanner.
struct EvictionSettings
{
    /// Trade-off: 1 favours the tail latency of urgent calls, 0 the throughput of batch jobs.
    double urgentWeight = 0.7;
    /// Urgent slowdown above which a worker is under pressure, at urgentWeight 1.
    double highPressureAtOne = 1.5;
    double highPressureAtZero = 4.0; ///< At urgentWeight 0; linear in between.
    double lowPressureShare = 0.8;   ///< Restore threshold as a share of the pressure threshold.
    double fullPressureLoad = 0.5;   ///< Urgent load from which a slowdown counts in full.
    /// Tasks that cause less slowdown are never throttled or evicted.
    double minTaskSlowdown = 0.1;
    double throttledShare = 0.25; ///< Share of its processors that a throttled task keeps.
    Duration throttleAfter = std::chrono::seconds(1); ///< Time under pressure before throttling.
    Duration settleTime = std::chrono::seconds(6);    ///< Time to wait for the effect of an action.
    Duration evictAfter = std::chrono::seconds(15);   ///< Time under pressure before evicting.
    /// Time below the restore threshold before restoring.
    Duration restoreAfter = std::chrono::seconds(20);
    Duration minRunTime = std::chrono::seconds(30); ///< A task that ran for less is not evicted.
    Duration evictionWindow = std::chrono::seconds(120); ///< Time window of maxEvictionsPerWindow.
    std::uint32_t maxEvictionsPerWindow = 1;             ///< Per worker.
};

} // namespace firefly
