#pragma once

#include "Core/Clock.h"
#include "Core/Resources.h"

#include <cstddef>
#include <cstdint>

namespace firefly {

/// When a worker is taken out of routing for its failures, and how it returns.
struct EjectionSettings
{
    std::uint32_t consecutiveFailures = 5;
    double maxEjectedShare = 0.3; ///< Of the workers of the pool, rounded down.
    Duration firstEjection = std::chrono::seconds(2);
    Duration longestEjection = std::chrono::seconds(8);
    Duration probeInterval = std::chrono::milliseconds(500);
    std::uint32_t probesToReturn = 2; ///< Successes in a row.
};

/// Settings of the urgent routing of one owner.
struct RoutingSettings
{
    EjectionSettings ejection;
    Resources call{1000, 512, 0, 1};               ///< What one urgent call takes.
    Duration slowStart = std::chrono::seconds(10); ///< Ramp of a newcomer or returning worker.
    double slowStartShare = 0.1; ///< Share of its weight at the start of the ramp.
    Duration initialLatency = std::chrono::milliseconds(20);
    double latencyGain = 0.1; ///< Weight of one new latency in a worker's average.
    Duration callTimeout = std::chrono::seconds(1);           ///< Latency that a failure counts as.
    Duration crossZonePenalty = std::chrono::milliseconds(2); ///< Price of cross-zone traffic.
    double calmBelow = 1.2; ///< Expected slowdown below which a worker counts as calm.
    double slowFrom = 1.6;  ///< Expected slowdown from which a worker counts as slow.
    std::size_t localSamples = 2;
    std::size_t remoteSamples = 1;
};

/// Settings of the retries and hedges of one service.
struct RetryBudgetSettings
{
    double ratio = 0.08;        ///< Extra requests earned by each request.
    double maxAccumulated = 10; ///< Extra requests that may be saved up.
};

} // namespace firefly
