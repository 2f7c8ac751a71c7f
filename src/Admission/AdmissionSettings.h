#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace firefly {

/// Settings of the admission of urgent requests.
struct AdmissionSettings
{
    Duration maxWait = std::chrono::milliseconds(5); ///< Longest stay in the queue.
    std::size_t maxQueued = 64;                      ///< Requests that wait at one time.
    Duration initialServiceTime = std::chrono::milliseconds(20);
    Duration minRetryAfter = std::chrono::milliseconds(100);
    Duration maxRetryAfter = std::chrono::seconds(10);
    double rateBurstSeconds = 1.0; ///< Seconds of a plan's rate that may be saved up.
};

} // namespace firefly
