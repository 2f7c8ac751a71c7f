#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace firefly {

/// Settings of batch placement and eviction.
struct PlacementSettings
{
    /// 1 protects the tail of urgent calls, 0 the throughput of batch jobs.
    double urgentWeight = 0.7;
    std::size_t samples = 16;       ///< Workers compared per placement.
    double maxSlowdownAtOne = 1.3;  ///< Predicted urgent slowdown accepted at urgentWeight 1.
    double maxSlowdownAtZero = 4.0; ///< The same at urgentWeight 0.
};

/// Settings of EvictionPlanner.
struct EvictionSettings
{
    double urgentWeight = 0.7;
    double highPressure = 1.6; ///< Urgent slowdown above which a worker is relieved.
    double lowPressure = 1.2;  ///< Below it, throttled tasks are restored.
    Duration throttleAfter = std::chrono::seconds(2);    ///< Under pressure for so long: throttle.
    Duration evictAfter = std::chrono::seconds(10);      ///< Still under pressure: evict.
    Duration minRunTime = std::chrono::seconds(60);      ///< No eviction before a task ran so long.
    Duration evictionWindow = std::chrono::seconds(120); ///< Window of maxEvictionsPerWindow.
    std::uint32_t maxEvictionsPerWindow = 1;             ///< Per worker.
    double throttledShare = 0.25;
    Duration restoreAfter = std::chrono::seconds(10); ///< Calm for so long: restore.
};

} // namespace firefly
