#pragma once

#include "Core/Clock.h"
#include "Core/Resources.h"

#include <cstddef>
#include <cstdint>

namespace firefly {

/// When a worker is ejected from routing for its failures, and how it is readmitted.
struct EjectionSettings
{
    std::uint32_t consecutiveFailures = 5; ///< Failures in a row that eject a worker.
    double maxEjectedShare = 0.3;          ///< Of the workers of the pool, rounded down.
    Duration baseEjectionTime = std::chrono::seconds(2); ///< Doubles with each ejection in a row.
    Duration maxEjectionTime = std::chrono::seconds(8);
    Duration probeInterval = std::chrono::milliseconds(500);
    std::uint32_t probesToRecover = 2; ///< Successful probes in a row that readmit a worker.
};

/// Settings of the urgent routing of one owner.
struct RoutingSettings
{
    EjectionSettings ejection;
    Resources resourcesPerCall{1000, 512, 0, 1};   ///< Reserved for each urgent call.
    Duration slowStart = std::chrono::seconds(10); ///< Ramp of a new or readmitted worker.
    double slowStartShare = 0.1;                   ///< Weight of a worker at the start of the ramp.
    /// Latency assumed before the first call ends.
    Duration initialLatency = std::chrono::milliseconds(20);
    double latencyGain = 0.1; ///< Weight of one call in a worker's moving averages.
    Duration callTimeout = std::chrono::seconds(1); ///< Latency that a failed call counts as.
    /// Added to the cost of calls to other zones.
    Duration crossZonePenalty = std::chrono::milliseconds(2);
    double lowInterferenceBelow = 1.2; ///< Expected slowdown below which interference is low.
    double highInterferenceFrom = 1.6; ///< Expected slowdown from which interference is high.
    std::size_t localSamples = 2;      ///< Workers compared from the caller's zone.
    std::size_t remoteSamples = 1;     ///< Workers compared from all zones.
};

/// Settings of the retries and hedges of one service.
struct RetryBudgetSettings
{
    double ratio = 0.08;        ///< Extra requests gained per request.
    double maxAccumulated = 10; ///< Maximum number of unused extra requests.
};

} // namespace firefly
