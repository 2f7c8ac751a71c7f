#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace firefly {

/// Settings of AdmissionControl.
struct AdmissionSettings
{
    Duration maxWait = std::chrono::milliseconds(5); ///< Longest time in the queue.
    std::size_t maxQueued = 64;                      ///< Waiting requests of all plans.
    /// Service time assumed before the first latency of a service.
    Duration initialServiceTime = std::chrono::milliseconds(20);
    /// Retry delay of a plan without recent refusals; grows with the share of refused requests.
    Duration minRetryAfter = std::chrono::milliseconds(100);
    Duration maxRetryAfter = std::chrono::seconds(10);
    double rateBurstSeconds = 1.0; ///< Burst size, in seconds of a plan's rate.
};

} // namespace firefly
