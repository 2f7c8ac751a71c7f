#pragma once

#include "Core/Clock.h"
#include "Core/Id.h"

namespace firefly {

/// How one urgent call on a worker ended, as the owner saw it.
enum class CallResult {
    Succeeded,
    ServiceFailed, ///< The worker answered with a failure, or refused.
    NoAnswer,      ///< No answer in time, or the connection broke.
    Abandoned, ///< The system lost interest (hedge won elsewhere); says nothing about the worker.
};

/// One ended call: what the pool learns from.
struct CallObservation
{
    CallResult result = CallResult::Succeeded;
    Duration latency{}; ///< From dispatch to the end, network included.
    ZoneId callerZone;  ///< Zone of the entry that dispatched it.
};

} // namespace firefly
