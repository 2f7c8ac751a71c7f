#pragma once

/// \file
/// Placement of batch jobs on workers, and throttling and eviction of batch tasks that slow down
/// urgent calls.

#include "Placement/BatchPlacer.h"
#include "Placement/CapacityShapes.h"
#include "Placement/EvictionPlanner.h"
#include "Placement/EvictionSettings.h"
#include "Placement/PlacementContext.h"
#include "Placement/PlacementMessages.h"
#include "Placement/PlacementPolicies.h"
#include "Placement/PlacementSettings.h"
#include "Placement/SizeEstimator.h"
#include "Placement/WorkerMixes.h"
