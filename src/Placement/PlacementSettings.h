#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace firefly {

/// Settings of batch placement.
struct PlacementSettings
{
    /// 1 protects the tail of urgent calls, 0 the throughput of batch jobs.
    double urgentWeight = 0.7;
    std::size_t samples = 16;   ///< Workers compared per placement.
    std::size_t scanLimit = 64; ///< Up to so many candidates are all compared instead.
};

} // namespace firefly
