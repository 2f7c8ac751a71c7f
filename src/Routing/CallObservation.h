#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

namespace firefly {

/// Outcome of one urgent call on a worker, as the owner observed it.
enum class CallResult {
    Succeeded,
    ServiceFailed, ///< The worker answered with a failure, or refused the call.
    NoAnswer,      ///< No answer in time, or the connection was lost.
    Abandoned,     ///< The result is no longer needed (another hedge won); ignored in statistics.
};

/// A call that ended, which updates the statistics of WorkerPool.
struct CallObservation
{
    CallResult result = CallResult::Succeeded;
    Duration latency{}; ///< From dispatch to the end, network included.
    ZoneId callerZone;  ///< Zone of the entry that dispatched it.
};

} // namespace firefly
