#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace firefly {

/// Settings of batch placement.
struct PlacementSettings
{
    /// Trade-off: 1 favours the tail latency of urgent calls, 0 the throughput of batch jobs.
    double urgentWeight = 0.7;
    std::size_t samples = 16;   ///< Random workers compared per placement.
    std::size_t scanLimit = 64; ///< Number of candidates up to which all are compared.
};

} // namespace firefly
