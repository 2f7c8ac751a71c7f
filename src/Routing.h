#pragma once

/// \file
/// Routing of urgent calls to the workers of one owner, and the accounting of their capacity.

#include "Routing/CallObservation.h"
#include "Routing/CapacityLedger.h"
#include "Routing/HedgeDelayEstimator.h"
#include "Routing/OutlierDetector.h"
#include "Routing/RetryBudget.h"
#include "Routing/RoutingPolicies.h"
#include "Routing/RoutingRequest.h"
#include "Routing/RoutingSettings.h"
#include "Routing/UrgentRouter.h"
#include "Routing/WorkerPool.h"
#include "Routing/ZoneLinks.h"
