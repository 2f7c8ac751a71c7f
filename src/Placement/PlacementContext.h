#pragma once

#include "Interference/SlowdownModel.h"
#include "Placement/CapacityShapes.h"
#include "Placement/PlacementSettings.h"
#include "Placement/WorkerMixes.h"
#include "Routing/WorkerPool.h"

namespace firefly {

/// What a placement policy decides on.  Refers to objects of the owner; holds nothing itself.
struct PlacementContext
{
    const WorkerPool &pool;
    const WorkerMixes &mixes;
    const SlowdownModel &slowdowns;
    WorkloadIndex service; ///< The latency-critical service on these workers.
    const PlacementSettings &settings;
};

} // namespace firefly
