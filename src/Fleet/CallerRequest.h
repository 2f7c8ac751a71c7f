#pragma once

#include "Core/Clock.h"
#include "Workload/JobSpec.h"

#include <functional>
#include <optional>
#include <string>

namespace firefly {

/// Operation that a client requests on one queue.
enum class CallerVerb { Submit, Query, Cancel, CountPending };

/// Outcome of a client's request.
enum class CallerOutcome {
    Done,
    NoSuchQueue,
    NoSuchJob,
    Malformed,
    NotRun,    ///< Certainly not accepted; an immediate retry may reach an owner.
    Refused,   ///< Certainly not accepted, and an immediate retry would fail as well.
    Unknown,   ///< May have been accepted.
    Elsewhere, ///< The job belongs to another cell, which the reply names.
};

inline constexpr CallerOutcome LastCallerOutcome = CallerOutcome::Elsewhere;

/// Text for log lines.
constexpr const char *toString(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Done:
        return "done";
    case CallerOutcome::NoSuchQueue:
        return "no such queue";
    case CallerOutcome::NoSuchJob:
        return "no such job";
    case CallerOutcome::Malformed:
        return "malformed";
    case CallerOutcome::NotRun:
        return "not run";
    case CallerOutcome::Refused:
        return "refused";
    case CallerOutcome::Elsewhere:
        return "elsewhere";
    case CallerOutcome::Unknown:
        break;
    }
    return "unknown";
}

/// Outcome of a client's request with its result.
struct CallerReply
{
    CallerOutcome outcome = CallerOutcome::Unknown;
    JobState state = JobState::Queued;  ///< For Query, when Done.
    int pending = 0;                    ///< For CountPending, when Done.
    std::string detail;                 ///< Explanation for the client and the log; may be empty.
    int cell = -1;                      ///< The job's cell, for Elsewhere.
    std::optional<Duration> retryAfter; ///< When to try again, for NotRun and Refused.
};

using OnCallerReply = std::function<void(CallerReply)>;

} // namespace firefly
