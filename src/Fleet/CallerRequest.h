#pragma once

#include "Workload/JobSpec.h"

#include <functional>
#include <optional>
#include <string>

namespace firefly {

/// What a client asks of one queue.
enum class CallerVerb { Submit, Query, Cancel, CountPending };

/// How a request of a client ends.
enum class CallerVerdict {
    Done,
    NoSuchQueue,
    NoSuchJob,
    Malformed,
    NotRun,  ///< Surely not accepted; another try may find an owner at once.
    Refused, ///< Surely not accepted, and another try now won't be either.
    Unknown, ///< May have been accepted.
};

struct CallerReply
{
    CallerVerdict verdict = CallerVerdict::Unknown;
    JobState state = JobState::Queued; ///< For Query, when Done.
    int pending = 0;                   ///< For CountPending, when Done.
    std::string detail;                ///< For the client and the log.
};

using OnCallerReply = std::function<void(CallerReply)>;

} // namespace firefly
