#pragma once

#include "Calls/IntentLedger.h"
#include "Config/ListsFold.h"
#include "Config/PlannedWorkFold.h"
#include "Jobs/JobLedger.h"
#include "Ownership/OwnershipFold.h"
#include "Recovery/CompositeFold.h"

namespace firefly {

/// Everything that the log decides, as one fold.
using ClusterState =
    CompositeFold<OwnershipFold, ListsFold, PlannedWorkFold, JobLedger, IntentLedger>;

} // namespace firefly
