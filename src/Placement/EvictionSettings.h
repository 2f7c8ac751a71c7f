#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace firefly {

/// Settings of EvictionPlanner.
struct EvictionSettings
{
    /// 1 protects the tail of urgent calls, 0 the throughput of batch jobs.
    double urgentWeight = 0.7;
    double highPressureAtOne = 1.5;  ///< Urgent slowdown that counts as pressure, urgentWeight 1.
    double highPressureAtZero = 4.0; ///< The same at urgentWeight 0.
    double lowPressureShare = 0.8;   ///< Of the high mark: below it throttled tasks are restored.
    double fullPressureLoad = 0.5;   ///< Urgent load from which a slowdown counts in full.
    double minRelief = 0.1;          ///< Tasks that cause less slowdown are left alone.
    double throttledShare = 0.25;    ///< Share of its processors that a throttled task keeps.
    Duration throttleAfter = std::chrono::seconds(1);    ///< Under pressure for so long: throttle.
    Duration settleTime = std::chrono::seconds(6);       ///< Wait for the effect of an action.
    Duration evictAfter = std::chrono::seconds(15);      ///< Still under pressure: evict.
    Duration restoreAfter = std::chrono::seconds(20);    ///< Calm for so long: restore.
    Duration minRunTime = std::chrono::seconds(30);      ///< No eviction before a task ran so long.
    Duration evictionWindow = std::chrono::seconds(120); ///< Window of maxEvictionsPerWindow.
    std::uint32_t maxEvictionsPerWindow = 1;             ///< Per worker.
};

} // namespace firefly
