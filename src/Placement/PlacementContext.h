#pragma once

#include "Interference/SlowdownModel.h"
#include "Placement/CapacityShapes.h"
#include "Placement/PlacementSettings.h"
#include "Placement/WorkerMixes.h"
#include "Routing/WorkerPool.h"

namespace firefly {

/// Read-only inputs of a placement policy; references objects of the caller.
struct PlacementContext
{
    const WorkerPool &pool;
    const WorkerMixes &mixes;
    const SlowdownModel &slowdowns;
    WorkloadIndex service; ///< Latency-critical service that runs on these workers.
    const PlacementSettings &settings;
};

} // namespace firefly
