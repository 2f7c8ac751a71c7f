#pragma once

#include "Traces.h"
#include "WorkerRecords.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace firefly::load {

/// What one worker reported at the end of a run.
struct WorkerEvidence
{
    std::string worker;
    Resources capacity;
    standins::WorkerRecords records;
};

/// One broken promise.
struct Violation
{
    std::string rule;
    std::string detail;
};

/// Compares what callers were told with what the workers executed.
///
/// Rules: each call has one outcome; an answer belongs to its own request and was executed; a call
/// with a key is executed at most once; what was not run was not executed; attempts of one job
/// never overlap and one of them finishes; no worker was given more than it holds.
std::vector<Violation> check(std::span<const CallTrace> calls, std::span<const JobTrace> jobs,
                             std::span<const WorkerEvidence> workers);

} // namespace firefly::load
