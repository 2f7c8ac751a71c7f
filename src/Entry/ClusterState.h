#pragma once

#include "Calls/IntentLedger.h"
#include "Config/ListsFold.h"
#include "Config/PlannedWorkFold.h"
#include "Jobs/JobLedger.h"
#include "Ownership/OwnershipFold.h"
#include "Recovery/CompositeFold.h"

namespace firefly {

/// The replicated cluster state, folded from the log's records: shard ownership, plans and limits,
/// planned work, jobs and idempotency keys.
using ClusterState =
    CompositeFold<OwnershipFold, ListsFold, PlannedWorkFold, JobLedger, IntentLedger>;

} // namespace firefly
