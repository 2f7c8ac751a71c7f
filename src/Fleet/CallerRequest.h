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
    NotRun,    ///< Surely not accepted; another try may find an owner at once.
    Refused,   ///< Surely not accepted, and another try now won't be either.
    Unknown,   ///< May have been accepted.
    Elsewhere, ///< Another cell has the job, or is to have it; the reply names it.
};

/// Name for log lines.
constexpr const char *toString(CallerVerdict verdict)
{
    switch (verdict) {
    case CallerVerdict::Done:
        return "done";
    case CallerVerdict::NoSuchQueue:
        return "no such queue";
    case CallerVerdict::NoSuchJob:
        return "no such job";
    case CallerVerdict::Malformed:
        return "malformed";
    case CallerVerdict::NotRun:
        return "not run";
    case CallerVerdict::Refused:
        return "refused";
    case CallerVerdict::Elsewhere:
        return "elsewhere";
    case CallerVerdict::Unknown:
        break;
    }
    return "unknown";
}

struct CallerReply
{
    CallerVerdict verdict = CallerVerdict::Unknown;
    JobState state = JobState::Queued; ///< For Query, when Done.
    int pending = 0;                   ///< For CountPending, when Done.
    std::string detail;                ///< For the client and the log.
    int cell = -1;                     ///< For Elsewhere.
};

using OnCallerReply = std::function<void(CallerReply)>;

} // namespace firefly
