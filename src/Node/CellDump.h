#pragma once

#include "Cell/CellScheduler.h"
#include "CellLease/CellElection.h"

#include <nlohmann/json_fwd.hpp>

namespace firefly {

// Texts for logs and dumps.

const char *toString(OrderOutcome outcome);
const char *toString(TaskState state);
const char *toString(JobState state);

/// Totals of one cell for its periodic load log line; O(tasks).
nlohmann::json summarizeLoad(const CellScheduler &scheduler);

/// The largest pieces of free capacity on single workers of one cell and the longest waits of
/// displaced tasks, for a log line; O(workers + tasks).
nlohmann::json summarizeFreePieces(const CellScheduler &scheduler);

/// State of one cell, shown to operators by /state; O(jobs + workers).
nlohmann::json dumpCell(const CellElection &election, const CellScheduler &scheduler);

} // namespace firefly
